//! Collects evidence of requests that crash their upstreams, and exchanges it with other daemons.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::{RequestId, Timestamp};

use super::culprit_sets::CulpritSet;
use super::dispatch::{Router, RouterAction};
use super::quarantine::{Completion, Evidence, Loss, QuarantineUpdate, Quarantined};
use super::request::{AttemptEnd, Outcome, RequestMeta, Target, UpstreamId};
use super::retries::RetryCost;

/// Maximum number of fingerprints in a log line.
const MAX_LISTED: usize = 8;

/// Attempts that were lost at an upstream, until it is known whether the upstream crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingCheck {
    /// When each subject of the lost attempts was last lost.
    losses: BTreeMap<Fingerprint, Timestamp>,
    /// Requests to retry or answer once it is known.
    waiting: Vec<(RequestId, Outcome)>,
}

/// The content and target of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestSubject {
    /// Fingerprints of the content as a whole and of the parts of the prompt.
    pub(super) subjects: Vec<Fingerprint>,
    /// The model or service that should run it.
    pub(super) target: Target,
}

impl RequestSubject {
    /// The fingerprints as text, the whole content first.
    fn listed(&self) -> String {
        listed(&self.subjects)
    }
}

/// Fingerprints as text, and the number of those left out.
fn listed(fingerprints: &[Fingerprint]) -> String {
    let texts = fingerprints.iter().take(MAX_LISTED);
    let texts: Vec<String> = texts.map(Fingerprint::to_string).collect();
    let omitted = fingerprints.len().saturating_sub(MAX_LISTED);
    let more = if omitted > 0 {
        format!(" and {omitted} more")
    } else {
        String::new()
    };
    format!("{}{more}", texts.join(" "))
}

impl Router {
    /// How long a request, or a part of prompts, remains quarantined; `None` if it is not.
    pub fn quarantined_for(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Duration> {
        self.quarantine.time_left(now, fingerprint, &self.settings)
    }

    /// Whether a request is quarantined, as a whole or for a part of its prompt.
    pub(super) fn is_quarantined(&self, now: Timestamp, meta: &RequestMeta) -> bool {
        let quarantined = self.quarantine.active_for(now, meta, &self.settings);
        quarantined.is_some()
    }

    /// All requests that are quarantined now.
    pub fn quarantined(&self, now: Timestamp) -> impl Iterator<Item = Quarantined> {
        self.quarantine.all(now, &self.settings)
    }

    /// Collects evidence from the end of an attempt. An attempt that was refused or not sent
    /// shows nothing, and a stalled one indicates a lost member rather than a crash.
    pub(super) fn record_evidence(
        &mut self,
        now: Timestamp,
        request: RequestId,
        subject: &RequestSubject,
        upstream: &UpstreamId,
        end: AttemptEnd,
        out: &mut Vec<RouterAction>,
    ) {
        match end {
            AttemptEnd::Lost => {
                out.push(RouterAction::Log(format!(
                    "request {} was lost at {upstream}, asks {}",
                    request.0,
                    subject.listed()
                )));
                self.check_after_loss(now, subject, upstream, out);
            }
            AttemptEnd::Completed { .. } => {
                self.record_completions(now, subject.subjects.iter(), out);
            }
            // A failure may come before the upstream has used the prompt.
            AttemptEnd::Failed { .. } => {
                let subjects = subject.subjects.iter();
                let whole = subjects.filter(|fingerprint| !fingerprint.is_prompt_part());
                self.record_completions(now, whole, out);
            }
            AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::WrongAnswer => {}
        }
    }

    fn record_completions<'a>(
        &mut self,
        now: Timestamp,
        subjects: impl Iterator<Item = &'a Fingerprint>,
        out: &mut Vec<RouterAction>,
    ) {
        for fingerprint in subjects.copied() {
            let completion = Completion {
                fingerprint,
                at: now,
            };
            if self.quarantine.record_completion(completion) {
                out.push(no_longer_quarantined(fingerprint));
            }
        }
    }

    /// Requests a check of the upstream after a loss. A broken connection alone does not show a
    /// crash: an upstream that is still running may have cut one answer short, and a request
    /// repeated to such an upstream crashes none.
    fn check_after_loss(
        &mut self,
        now: Timestamp,
        subject: &RequestSubject,
        upstream: &UpstreamId,
        out: &mut Vec<RouterAction>,
    ) {
        if self.settings.quarantine_after == 0 {
            return;
        }
        let losses = subject.subjects.iter();
        let losses = losses.map(|fingerprint| (*fingerprint, now));
        if let Some(check) = self.pending_checks.get_mut(upstream) {
            // The check already under way covers all attempts lost in the meantime.
            check.losses.extend(losses);
            return;
        }
        let state = self.targets.get_mut(&subject.target);
        let Some(known) = state.and_then(|state| state.upstream_mut(upstream)) else {
            return;
        };
        out.push(RouterAction::CheckUpstream {
            upstream: upstream.clone(),
            address: known.spec.address,
        });
        let check = PendingCheck {
            losses: losses.collect(),
            waiting: Vec::new(),
        };
        self.pending_checks.insert(upstream.clone(), check);
    }

    /// Whether the request would be quarantined if the check of the upstream shows a crash.
    pub(super) fn awaits_check(&self, subject: &RequestSubject, upstream: &UpstreamId) -> bool {
        let Some(check) = self.pending_checks.get(upstream) else {
            return false;
        };
        let checks = self.pending_checks.values();
        let checks: Vec<&PendingCheck> = checks.collect();
        let is_decisive = |fingerprint: &Fingerprint| {
            let possible = checks.iter();
            let possible = possible.filter(|check| check.losses.contains_key(fingerprint));
            let crashes = self.quarantine.crashes(*fingerprint) + possible.count();
            crashes >= self.settings.quarantine_after as usize
        };
        let lost = subject.subjects.iter();
        let mut lost = lost.filter(|fingerprint| check.losses.contains_key(fingerprint));
        lost.any(is_decisive)
    }

    /// Holds back the outcome of a request until the upstream has been checked.
    pub(super) fn hold_until_checked(
        &mut self,
        upstream: &UpstreamId,
        request: RequestId,
        outcome: Outcome,
    ) {
        if let Some(check) = self.pending_checks.get_mut(upstream) {
            check.waiting.push((request, outcome));
        }
        if let Some(pending) = self.pending.get_mut(&request) {
            // The caller may leave, or its key may be revoked, before the check ends.
            pending.earlier_outcome = Some(outcome);
        }
    }

    /// Handles the result of a check whether an upstream is still running after attempts were
    /// lost.
    pub fn on_upstream_checked(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        is_gone: bool,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let PendingCheck { losses, waiting } =
            self.pending_checks.remove(upstream).unwrap_or_default();
        if is_gone {
            self.record_crash(upstream, losses, out);
        }
        for (request, outcome) in waiting {
            self.retry_or_answer(now, request, outcome, RetryCost::One, rng, out);
        }
        self.dispatch_all(now, rng, out);
    }

    fn record_crash(
        &mut self,
        upstream: &UpstreamId,
        losses: BTreeMap<Fingerprint, Timestamp>,
        out: &mut Vec<RouterAction>,
    ) {
        let requests = losses.keys();
        let requests = requests.filter(|fingerprint| !fingerprint.is_prompt_part());
        out.push(RouterAction::Log(format!(
            "{upstream} crashed while running {} requests of this daemon",
            requests.count()
        )));
        let mut trials = self.running_trials.iter();
        let on_trial = trials
            .find(|(subject, trial)| trial.upstream == *upstream && losses.contains_key(subject));
        if let Some((subject, trial)) = on_trial {
            // The request on trial explains the crash, so the requests that ran beside it are not
            // counted.
            let set = self.quarantine.record_trial_crash(
                &trial.subjects,
                losses[subject],
                &self.settings,
            );
            out.push(crashed_in_trial(&set));
            return;
        }
        for (fingerprint, at) in losses {
            let loss = Loss {
                fingerprint,
                upstream: upstream.clone(),
                at,
            };
            if self.quarantine.record_loss(loss, &self.settings) {
                out.push(quarantined(fingerprint));
            }
        }
    }

    /// Applies quarantine changes of another daemon.
    pub fn apply_quarantine_update(
        &mut self,
        update: QuarantineUpdate,
        out: &mut Vec<RouterAction>,
    ) {
        for completion in update.completions {
            if self.quarantine.apply_remote_completion(completion) {
                out.push(no_longer_quarantined(completion.fingerprint));
            }
        }
        for entry in update.quarantined {
            if self.quarantine.apply_remote_quarantine(entry) {
                out.push(match entry.evidence {
                    Evidence::Suspected => quarantined(entry.fingerprint),
                    Evidence::Proven => proven(entry.fingerprint),
                });
            }
        }
        for set in update.culprit_sets {
            if self.quarantine.apply_remote_culprit_set(set.clone()) {
                out.push(crashed_in_trial(&set));
            }
        }
        for loss in update.losses {
            let fingerprint = loss.fingerprint;
            if self.quarantine.apply_remote_loss(loss, &self.settings) {
                out.push(quarantined(fingerprint));
            }
        }
    }

    /// What is known to crash upstreams; see [`super::quarantine::Quarantine::culprits`].
    pub fn culprits(&self, now: Timestamp) -> Vec<Vec<Fingerprint>> {
        self.quarantine.culprits(now, &self.settings)
    }

    /// The sets of suspects of which one crashes upstreams, smallest first.
    pub fn culprit_sets(&self) -> Vec<&CulpritSet> {
        self.quarantine.culprit_sets()
    }

    /// Takes the quarantine changes to report to other daemons; each is returned once.
    pub fn take_quarantine_update(&mut self, now: Timestamp) -> QuarantineUpdate {
        self.quarantine.remove_expired(now, &self.settings);
        self.quarantine.take_update()
    }
}

fn crashed_in_trial(set: &CulpritSet) -> RouterAction {
    RouterAction::Log(format!(
        "quarantines any request that asks all of {}: an upstream crashed during its trial",
        listed(&set.subjects)
    ))
}

fn proven(fingerprint: Fingerprint) -> RouterAction {
    RouterAction::Log(format!(
        "quarantines any request that asks {fingerprint}: an upstream crashed during its trial"
    ))
}

fn quarantined(fingerprint: Fingerprint) -> RouterAction {
    RouterAction::Log(format!(
        "suspects any request that asks {fingerprint}: several upstreams crashed while running it and none completed it; it will be run alone in a trial"
    ))
}

fn no_longer_quarantined(fingerprint: Fingerprint) -> RouterAction {
    RouterAction::Log(format!(
        "any request that asks {fingerprint} is no longer quarantined or suspected: an upstream answered it"
    ))
}
