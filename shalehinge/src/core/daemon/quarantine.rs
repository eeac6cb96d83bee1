//! What daemons tell each other of requests that crash the upstreams that run them.
//!
//! Each lost attempt is told to a few daemons of each failure domain, which count them; whoever
//! decides on a quarantine tells all. A message that is lost is made up for by the answers to
//! the questions that each daemon asks a peer once a second, which hold all that is quarantined.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Daemon;
use super::configuration::send_notice;
use crate::core::event::{
    Action, CompletionReport, LossReport, Notice, QuarantineReport, QuarantinedReport,
};
use crate::core::membership::Owner;
use crate::core::router::quarantine::{Completion, Evidence, Loss, QuarantineUpdate, Quarantined};
use crate::core::router::request::UpstreamId;
use crate::core::trials::{TrialGrant, TrialRequest};
use crate::core::types::{Address, FailureDomain, Timestamp};

/// The duty of counting losses.
const WITNESS_DUTY: &str = "quarantine";
/// Daemons of each failure domain that count. One may be down, and each failure domain
/// decides by itself when it is cut off.
const WITNESSES: usize = 2;
/// Requests in quarantine that an answer to a peer holds. Each takes some 20 bytes.
const MOST_TOLD: usize = 64;

fn ago(now: Timestamp, millis: u64) -> Timestamp {
    now.minus(Duration::from_millis(millis))
}

fn report_of(now: Timestamp, quarantined: Quarantined) -> QuarantinedReport {
    QuarantinedReport {
        fingerprint: quarantined.fingerprint,
        first_lost_ms_ago: now.millis_since(quarantined.first_lost_at),
        last_lost_ms_ago: now.millis_since(quarantined.last_lost_at),
        is_proven: quarantined.evidence == Evidence::Proven,
    }
}

fn report(now: Timestamp, news: QuarantineUpdate) -> QuarantineReport {
    let losses = news.losses.into_iter().map(|loss| LossReport {
        fingerprint: loss.fingerprint,
        upstream: loss.upstream,
        ms_ago: now.millis_since(loss.at),
    });
    let completions = news.completions.iter().map(|completion| CompletionReport {
        fingerprint: completion.fingerprint,
        ms_ago: now.millis_since(completion.at),
    });
    let quarantined = news.quarantined.iter();
    QuarantineReport {
        losses: losses.collect(),
        quarantined: quarantined.map(|held| report_of(now, *held)).collect(),
        completions: completions.collect(),
        ..QuarantineReport::default()
    }
}

/// What a report says in the time of this daemon. What is older than its start counts from
/// there.
fn news_of(now: Timestamp, report: QuarantineReport) -> QuarantineUpdate {
    let losses = report.losses.into_iter().map(|loss| Loss {
        fingerprint: loss.fingerprint,
        upstream: loss.upstream,
        at: ago(now, loss.ms_ago),
    });
    let quarantined = report.quarantined.iter().map(|held| Quarantined {
        fingerprint: held.fingerprint,
        first_lost_at: ago(now, held.first_lost_ms_ago),
        last_lost_at: ago(now, held.last_lost_ms_ago),
        evidence: if held.is_proven {
            Evidence::Proven
        } else {
            Evidence::Suspected
        },
    });
    let completions = report.completions.iter().map(|completion| Completion {
        fingerprint: completion.fingerprint,
        at: ago(now, completion.ms_ago),
    });
    QuarantineUpdate {
        losses: losses.collect(),
        quarantined: quarantined.collect(),
        completions: completions.collect(),
    }
}

impl Daemon {
    /// Tells peers what is new.
    pub(super) fn tell_quarantine(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let news = self.router.take_quarantine_update(now);
        if news.is_empty() {
            return;
        }
        self.end_trials(&news);
        let losses = news.losses.clone();
        let for_all = QuarantineUpdate {
            losses: Vec::new(),
            ..news
        };
        if !for_all.is_empty() {
            let peers = self.membership.alive(now).map(|peer| peer.address);
            self.send_quarantine(peers.collect(), report(now, for_all), out);
        }
        if !losses.is_empty() {
            let for_witnesses = QuarantineUpdate {
                losses,
                ..QuarantineUpdate::default()
            };
            self.send_quarantine(self.witnesses(now), report(now, for_witnesses), out);
        }
    }

    /// Those who count the losses of all daemons, but for this one.
    fn witnesses(&self, now: Timestamp) -> Vec<Address> {
        let membership = &self.membership;
        let peers = membership.alive(now).map(|peer| &peer.failure_domain);
        let domains: BTreeSet<&FailureDomain> =
            peers.chain([&self.identity.failure_domain]).collect();
        domains
            .into_iter()
            .flat_map(|domain| {
                membership.responsible_addresses(now, domain, WITNESS_DUTY, WITNESSES)
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

    /// Asks the owner of a target's trials for one.
    pub(super) fn ask_trial(
        &mut self,
        now: Timestamp,
        request: TrialRequest,
        out: &mut Vec<Action>,
    ) {
        match self.membership.fleet_owner(now, &request.target) {
            Owner::Me => {
                let grant = self.trials.ask(now, &request);
                self.own_trials.extend(grant);
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

    /// A peer asks for a trial. Only the owner by this daemon's own view answers.
    fn on_trial_asked(
        &mut self,
        now: Timestamp,
        from: Address,
        request: &TrialRequest,
        out: &mut Vec<Action>,
    ) {
        if self.membership.fleet_owner(now, &request.target) != Owner::Me {
            return;
        }
        let Some(grant) = self.trials.ask(now, request) else {
            return;
        };
        let report = QuarantineReport {
            trials_granted: vec![grant],
            ..QuarantineReport::default()
        };
        self.send_quarantine(vec![from], report, out);
    }

    /// Trials that this daemon, as their owner, has for itself.
    pub(super) fn take_own_trials(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let granted = std::mem::take(&mut self.own_trials);
        if granted.is_empty() {
            return;
        }
        self.begin_trials(now, granted, out);
    }

    fn begin_trials(&mut self, now: Timestamp, granted: Vec<TrialGrant>, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        for grant in granted {
            self.router
                .on_trial(now, &grant, &mut self.rng, &mut actions);
        }
        self.router_actions(now, actions, out);
    }

    /// Ends the trials of what was cleared or proven.
    fn end_trials(&mut self, news: &QuarantineUpdate) {
        let proven = news.quarantined.iter();
        let proven = proven.filter(|held| held.evidence == Evidence::Proven);
        let ended = proven.map(|held| held.fingerprint);
        let cleared = news.completions.iter().map(|done| done.fingerprint);
        for fingerprint in ended.chain(cleared) {
            self.trials.end(fingerprint);
        }
    }

    /// What an answer to a peer holds.
    pub(super) fn quarantine_report(&self, now: Timestamp) -> QuarantineReport {
        let quarantined = self.router.quarantined(now).take(MOST_TOLD);
        QuarantineReport {
            quarantined: quarantined.map(|held| report_of(now, held)).collect(),
            ..QuarantineReport::default()
        }
    }

    /// It was looked whether an upstream is still there.
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
        self.router_actions(now, actions, out);
    }

    /// Takes in what a peer told, with ages as of `told_at`.
    pub(super) fn learn_quarantine(
        &mut self,
        now: Timestamp,
        told_at: Timestamp,
        report: QuarantineReport,
        out: &mut Vec<Action>,
    ) {
        let news = news_of(told_at, report);
        self.end_trials(&news);
        let mut actions = Vec::new();
        self.router.apply_quarantine_update(news, &mut actions);
        self.router_actions(now, actions, out);
    }

    /// Takes in a peer's notice.
    pub(super) fn on_quarantine_told(
        &mut self,
        now: Timestamp,
        from: Address,
        mut report: QuarantineReport,
        out: &mut Vec<Action>,
    ) {
        for request in std::mem::take(&mut report.trials_asked) {
            self.on_trial_asked(now, from, &request, out);
        }
        let granted = std::mem::take(&mut report.trials_granted);
        self.learn_quarantine(now, now, report, out);
        self.begin_trials(now, granted, out);
    }
}
