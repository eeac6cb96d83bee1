//! Exchanges reports of requests that crash the upstreams that run them.
//!
//! Each lost attempt is reported to a few daemons of each failure domain, which count losses. The
//! daemon that decides on a quarantine notifies all others. Lost notices are made up for by the
//! replies to the gossip pulls that each daemon sends once a second: they list the quarantined
//! requests.

use std::collections::BTreeSet;
use std::time::Duration;

use super::configuration::send_notice;
use super::{CallPurpose, Daemon};
use crate::core::event::{
    Action, CompletionReport, CulpritSetReport, LossReport, Notice, QuarantineReport,
    QuarantinedReport,
};
use crate::core::fingerprint::{Fingerprint, StoredFingerprint};
use crate::core::membership::Owner;
use crate::core::objects::{Assignment, ObjectKey};
use crate::core::platform::{
    EraScope, Freshness, NoAnswer, PlatformCall, PlatformReply, PlatformResult,
};
use crate::core::router::culprit_sets::CulpritSet;
use crate::core::router::quarantine::{Completion, Evidence, Loss, QuarantineUpdate, Quarantined};
use crate::core::router::request::UpstreamId;
use crate::core::trials::{TrialGrant, TrialRequest};
use crate::core::types::{Address, FailureDomain, Timestamp};

/// Membership duty of counting lost attempts.
const LOSS_COUNTER_DUTY: &str = "quarantine";
/// Number of daemons per failure domain that count lost attempts: one may be down, and a failure
/// domain that is cut off must decide by itself.
const LOSS_COUNTERS_PER_DOMAIN: usize = 2;
/// Maximum number of quarantined requests in a pull reply. Each takes some 20 bytes.
const MAX_REPORTED: usize = 64;
/// Maximum number of suspects in the sets of a pull reply. Each takes 9 bytes.
const MAX_REPORTED_IN_SETS: usize = 512;

/// Maximum number of fingerprints that are stored with an assignment. Each takes some 20 bytes.
const MAX_STORED: usize = 512;

/// Minimum time between two reads of what was stored, after one without an answer.
const CULPRITS_READ_INTERVAL: Duration = Duration::from_secs(1);

/// What this daemon has read of what is stored about requests that crash upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredCulprits {
    /// Failure domains whose stored assignment was taken into account.
    adopted_from: BTreeSet<FailureDomain>,
    /// The scope in which the assignment of the own failure domain was read.
    read_in: Option<EraScope>,
    /// When it may be read again.
    next_read_at: Timestamp,
}

fn saturating_time_before(now: Timestamp, millis: u64) -> Timestamp {
    now.minus(Duration::from_millis(millis))
}

fn quarantined_report(now: Timestamp, quarantined: Quarantined) -> QuarantinedReport {
    QuarantinedReport {
        fingerprint: quarantined.fingerprint,
        first_lost_ms_ago: now.millis_since(quarantined.first_lost_at),
        last_lost_ms_ago: now.millis_since(quarantined.last_lost_at),
        is_proven: quarantined.evidence == Evidence::Proven,
    }
}

fn culprit_set_report(now: Timestamp, set: &CulpritSet) -> CulpritSetReport {
    CulpritSetReport {
        subjects: set.subjects.clone(),
        first_lost_ms_ago: now.millis_since(set.first_lost_at),
        last_lost_ms_ago: now.millis_since(set.last_lost_at),
    }
}

fn culprit_set_from_report(now: Timestamp, report: CulpritSetReport) -> CulpritSet {
    let mut subjects = report.subjects;
    subjects.sort_unstable();
    subjects.dedup();
    CulpritSet {
        subjects,
        first_lost_at: saturating_time_before(now, report.first_lost_ms_ago),
        last_lost_at: saturating_time_before(now, report.last_lost_ms_ago),
    }
}

fn report_from_update(now: Timestamp, update: QuarantineUpdate) -> QuarantineReport {
    let losses = update
        .losses
        .chunk_by(|one, other| one.upstream == other.upstream && one.at == other.at);
    let losses = losses.map(|losses| LossReport {
        fingerprints: losses.iter().map(|loss| loss.fingerprint).collect(),
        upstream: losses[0].upstream.clone(),
        ms_ago: now.millis_since(losses[0].at),
    });
    let completions = update
        .completions
        .iter()
        .map(|completion| CompletionReport {
            fingerprint: completion.fingerprint,
            ms_ago: now.millis_since(completion.at),
        });
    let quarantined = update.quarantined.iter();
    QuarantineReport {
        losses: losses.collect(),
        quarantined: quarantined
            .map(|entry| quarantined_report(now, *entry))
            .collect(),
        completions: completions.collect(),
        culprit_sets: update
            .culprit_sets
            .iter()
            .map(|set| culprit_set_report(now, set))
            .collect(),
        ..QuarantineReport::default()
    }
}

/// Converts the ages in a report to times of this daemon. Times before its start are set to the
/// start.
fn update_from_report(now: Timestamp, report: QuarantineReport) -> QuarantineUpdate {
    let losses = report.losses.into_iter().flat_map(|report| {
        let at = saturating_time_before(now, report.ms_ago);
        let upstream = report.upstream;
        let fingerprints = report.fingerprints.into_iter();
        fingerprints.map(move |fingerprint| Loss {
            fingerprint,
            upstream: upstream.clone(),
            at,
        })
    });
    let quarantined = report.quarantined.iter().map(|entry| Quarantined {
        fingerprint: entry.fingerprint,
        first_lost_at: saturating_time_before(now, entry.first_lost_ms_ago),
        last_lost_at: saturating_time_before(now, entry.last_lost_ms_ago),
        evidence: if entry.is_proven {
            Evidence::Proven
        } else {
            Evidence::Suspected
        },
    });
    let completions = report.completions.iter().map(|completion| Completion {
        fingerprint: completion.fingerprint,
        at: saturating_time_before(now, completion.ms_ago),
    });
    QuarantineUpdate {
        losses: losses.collect(),
        quarantined: quarantined.collect(),
        culprit_sets: report
            .culprit_sets
            .into_iter()
            .map(|set| culprit_set_from_report(now, set))
            .collect(),
        completions: completions.collect(),
    }
}

/// Adds a stored set. When its crashes occurred is not known.
fn add_culprits(update: &mut QuarantineUpdate, now: Timestamp, mut subjects: Vec<Fingerprint>) {
    subjects.sort_unstable();
    subjects.dedup();
    match subjects[..] {
        [] => {}
        [fingerprint] => update.quarantined.push(Quarantined {
            fingerprint,
            first_lost_at: now,
            last_lost_at: now,
            evidence: Evidence::Proven,
        }),
        _ => update.culprit_sets.push(CulpritSet {
            subjects,
            first_lost_at: now,
            last_lost_at: now,
        }),
    }
}

impl Daemon {
    /// Sends new losses to the daemons that count them, and all other new findings to all daemons.
    pub(super) fn send_quarantine_update(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let update = self.router.take_quarantine_update(now);
        if update.is_empty() {
            return;
        }
        self.end_trials(&update);
        let losses = update.losses.clone();
        let for_all_peers = QuarantineUpdate {
            losses: Vec::new(),
            ..update
        };
        if !for_all_peers.is_empty() {
            let peers = self.membership.live_peers(now).map(|peer| peer.address);
            self.send_quarantine(peers.collect(), report_from_update(now, for_all_peers), out);
        }
        if !losses.is_empty() {
            let for_counters = QuarantineUpdate {
                losses,
                ..QuarantineUpdate::default()
            };
            self.send_quarantine(
                self.loss_counters(now),
                report_from_update(now, for_counters),
                out,
            );
        }
    }

    /// The daemons that count lost attempts, in all failure domains, without this one.
    fn loss_counters(&self, now: Timestamp) -> Vec<Address> {
        let membership = &self.membership;
        let peers = membership.live_peers(now).map(|peer| &peer.failure_domain);
        let domains: BTreeSet<&FailureDomain> =
            peers.chain([&self.identity.failure_domain]).collect();
        domains
            .into_iter()
            .flat_map(|domain| {
                membership.responsible_addresses(
                    now,
                    domain,
                    LOSS_COUNTER_DUTY,
                    LOSS_COUNTERS_PER_DOMAIN,
                )
            })
            .filter(|address| *address != self.identity.address)
            .collect()
    }

    fn send_quarantine(
        &self,
        peers: Vec<Address>,
        quarantine: QuarantineReport,
        out: &mut Vec<Action>,
    ) {
        let notice = Notice {
            quarantine,
            ..self.notice()
        };
        send_notice(peers, &notice, out);
    }

    /// Requests a trial from the owner of the target's trials.
    pub(super) fn request_trial(
        &mut self,
        now: Timestamp,
        request: TrialRequest,
        out: &mut Vec<Action>,
    ) {
        match self.membership.fleet_owner(now, &request.target) {
            Owner::ThisDaemon => {
                let grant = self.trials.try_grant(now, &request);
                self.own_trial_grants.extend(grant);
            }
            Owner::Peer(owner) => {
                let trials_asked = vec![request];
                let report = QuarantineReport {
                    trials_asked,
                    ..QuarantineReport::default()
                };
                self.send_quarantine(vec![owner], report, out);
            }
        }
    }

    /// Answers a peer's request for a trial, if this daemon is the owner by its own view of the
    /// membership.
    fn on_trial_request(
        &mut self,
        now: Timestamp,
        from: Address,
        request: &TrialRequest,
        out: &mut Vec<Action>,
    ) {
        if self.membership.fleet_owner(now, &request.target) != Owner::ThisDaemon {
            return;
        }
        let Some(grant) = self.trials.try_grant(now, request) else {
            return;
        };
        let report = QuarantineReport {
            trials_granted: vec![grant],
            ..QuarantineReport::default()
        };
        self.send_quarantine(vec![from], report, out);
    }

    /// Starts the trials that this daemon, as their owner, granted to itself.
    pub(super) fn start_own_trials(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let granted = std::mem::take(&mut self.own_trial_grants);
        if granted.is_empty() {
            return;
        }
        self.start_trials(now, granted, out);
    }

    fn start_trials(&mut self, now: Timestamp, granted: Vec<TrialGrant>, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        for grant in granted {
            self.router
                .on_trial(now, &grant, &mut self.rng, &mut actions);
        }
        self.handle_router_actions(now, actions, out);
    }

    /// Ends the trials of requests that are proven to crash upstreams or were cleared by
    /// completing.
    fn end_trials(&mut self, update: &QuarantineUpdate) {
        let proven = update.quarantined.iter();
        let proven = proven.filter(|entry| entry.evidence == Evidence::Proven);
        let sets = update.culprit_sets.iter();
        let in_sets = sets.flat_map(|set| set.subjects.iter().copied());
        for fingerprint in proven.map(|entry| entry.fingerprint).chain(in_sets) {
            self.trials.end(fingerprint);
        }
        for completion in &update.completions {
            self.trials.clear(completion.fingerprint);
        }
    }

    /// The quarantined requests to include in a pull reply.
    pub(super) fn quarantine_report(&self, now: Timestamp) -> QuarantineReport {
        let mut quarantined: Vec<Quarantined> = self.router.quarantined(now).collect();
        // The limit must not keep back a proven entry for a suspected one.
        quarantined.sort_by_key(|entry| std::cmp::Reverse(entry.evidence));
        quarantined.truncate(MAX_REPORTED);
        let mut count = 0;
        let sets = self.router.culprit_sets().into_iter();
        let sets = sets.take_while(|set| {
            count += set.subjects.len();
            count <= MAX_REPORTED_IN_SETS
        });
        QuarantineReport {
            culprit_sets: sets.map(|set| culprit_set_report(now, set)).collect(),
            quarantined: quarantined
                .into_iter()
                .map(|entry| quarantined_report(now, entry))
                .collect(),
            ..QuarantineReport::default()
        }
    }

    /// What is known to crash upstreams, as the lease holder stores it.
    fn culprits_to_store(&self, now: Timestamp) -> Vec<Vec<StoredFingerprint>> {
        let mut count = 0;
        let mut culprits = self.router.culprits(now);
        culprits.sort_by_key(Vec::len);
        let culprits = culprits.into_iter().take_while(|set| {
            count += set.len();
            count <= MAX_STORED
        });
        let stored = culprits.map(|set| set.into_iter().map(StoredFingerprint::from).collect());
        stored.collect()
    }

    /// Reads once in each scope what was known to crash upstreams before this daemon started. The
    /// lease holder reads it too, but there may be none for seconds after all daemons restarted.
    pub(super) fn read_stored_culprits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(scope) = self.object_scope() else {
            return;
        };
        let is_read = self.culprits.read_in == Some(scope);
        if is_read || now < self.culprits.next_read_at {
            return;
        }
        self.culprits.read_in = Some(scope);
        self.culprits.next_read_at = now + CULPRITS_READ_INTERVAL;
        let request = PlatformCall::Get {
            key: ObjectKey::Assignment(self.identity.failure_domain.clone()),
            scope,
            freshness: Freshness::MayBeStale,
        };
        self.call_platform(CallPurpose::StoredCulprits, request, out);
    }

    /// Handles the reply to that read.
    pub(super) fn on_stored_culprits(
        &mut self,
        now: Timestamp,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) {
        match result {
            Ok(PlatformReply::Object(object)) => {
                if let Some(assignment) = object.into_assignment() {
                    let domain = self.identity.failure_domain.clone();
                    self.adopt_culprits(now, domain, &assignment.value, out);
                }
            }
            Ok(_) => {}
            Err(NoAnswer) => self.culprits.read_in = None,
        }
    }

    /// Learns from the assignments that are in force what was known to crash upstreams.
    pub(super) fn adopt_stored_culprits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let adopted = &self.culprits.adopted_from;
        let assignments = self.state.assignments().iter();
        let new: Vec<(FailureDomain, Assignment)> = assignments
            .filter(|(domain, _)| !adopted.contains(*domain))
            .map(|(domain, assignment)| (domain.clone(), assignment.value.clone()))
            .collect();
        for (domain, assignment) in new {
            self.adopt_culprits(now, domain, &assignment, out);
        }
    }

    /// Learns from the first assignment of a failure domain what was known to crash upstreams when
    /// it was stored. Later ones say nothing new: daemons tell each other.
    fn adopt_culprits(
        &mut self,
        now: Timestamp,
        domain: FailureDomain,
        assignment: &Assignment,
        out: &mut Vec<Action>,
    ) {
        if !self.culprits.adopted_from.insert(domain) {
            return;
        }
        let mut update = QuarantineUpdate::default();
        for set in &assignment.culprits {
            let subjects = set.iter().filter_map(StoredFingerprint::parse);
            add_culprits(&mut update, now, subjects.collect());
        }
        let mut actions = Vec::new();
        self.router.apply_quarantine_update(update, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    /// Passes what is known to crash upstreams to the controller of the lease holder, once it is
    /// known what was stored before.
    pub(super) fn update_stored_culprits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(stored) = self.controller.stored() else {
            return;
        };
        let stored = stored.value.clone();
        let domain = self.identity.failure_domain.clone();
        self.adopt_culprits(now, domain, &stored, out);
        let culprits = self.culprits_to_store(now);
        self.controller.set_culprits(culprits);
    }

    /// Handles the result of a check whether an upstream still exists.
    pub(super) fn on_upstream_checked(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        is_gone: bool,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router
            .on_upstream_checked(now, upstream, is_gone, &mut self.rng, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    /// Applies a peer's report, whose ages are relative to `reported_at`.
    pub(super) fn apply_quarantine_report(
        &mut self,
        now: Timestamp,
        reported_at: Timestamp,
        report: QuarantineReport,
        out: &mut Vec<Action>,
    ) {
        let update = update_from_report(reported_at, report);
        self.end_trials(&update);
        let mut actions = Vec::new();
        self.router.apply_quarantine_update(update, &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    /// Handles the quarantine part of a peer's notice.
    pub(super) fn on_quarantine_notice(
        &mut self,
        now: Timestamp,
        from: Address,
        mut report: QuarantineReport,
        out: &mut Vec<Action>,
    ) {
        for request in std::mem::take(&mut report.trials_asked) {
            self.on_trial_request(now, from, &request, out);
        }
        let granted = std::mem::take(&mut report.trials_granted);
        self.apply_quarantine_report(now, now, report, out);
        self.start_trials(now, granted, out);
    }
}
