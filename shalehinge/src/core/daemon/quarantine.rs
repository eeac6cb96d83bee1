//! What daemons tell each other of requests that crash the upstreams that run them.
//!
//! Each lost attempt is told to a few daemons of each failure domain, which count them; whoever
//! decides on a quarantine tells all. A message that is lost is made up for by the answers to
//! the questions that each daemon asks a peer once a second, which hold all that is quarantined.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Daemon;
use super::configuration::send_notice;
use super::peers::millis_since;
use crate::core::event::{
    Action, CompletionReport, LossReport, Notice, QuarantineReport, QuarantinedReport,
};
use crate::core::router::quarantine::{Completion, Loss, QuarantineNews, Quarantined};
use crate::core::router::request::UpstreamId;
use crate::core::types::{Address, FailureDomain, Timestamp};

/// The duty of counting losses.
const WITNESS_DUTY: &str = "quarantine";
/// Daemons of each failure domain that count. Chosen: one may be down, and each failure domain
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
        first_lost_ms_ago: millis_since(now, quarantined.first_lost_at),
        last_lost_ms_ago: millis_since(now, quarantined.last_lost_at),
    }
}

fn report(now: Timestamp, news: QuarantineNews) -> QuarantineReport {
    let losses = news.losses.into_iter().map(|loss| LossReport {
        fingerprint: loss.fingerprint,
        upstream: loss.upstream,
        ms_ago: millis_since(now, loss.at),
    });
    let completions = news.completions.iter().map(|completion| CompletionReport {
        fingerprint: completion.fingerprint,
        ms_ago: millis_since(now, completion.at),
    });
    let quarantined = news.quarantined.iter();
    QuarantineReport {
        losses: losses.collect(),
        quarantined: quarantined.map(|held| report_of(now, *held)).collect(),
        completions: completions.collect(),
    }
}

/// What a report says in the time of this daemon. What is older than its start counts from
/// there.
fn news_of(now: Timestamp, report: QuarantineReport) -> QuarantineNews {
    let losses = report.losses.into_iter().map(|loss| Loss {
        fingerprint: loss.fingerprint,
        upstream: loss.upstream,
        at: ago(now, loss.ms_ago),
    });
    let quarantined = report.quarantined.iter().map(|held| Quarantined {
        fingerprint: held.fingerprint,
        first_lost_at: ago(now, held.first_lost_ms_ago),
        last_lost_at: ago(now, held.last_lost_ms_ago),
    });
    let completions = report.completions.iter().map(|completion| Completion {
        fingerprint: completion.fingerprint,
        at: ago(now, completion.ms_ago),
    });
    QuarantineNews {
        losses: losses.collect(),
        quarantined: quarantined.collect(),
        completions: completions.collect(),
    }
}

impl Daemon {
    /// Tells peers what is new.
    pub(super) fn tell_quarantine(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let news = self.router.take_quarantine_news(now);
        if news.is_empty() {
            return;
        }
        let losses = news.losses.clone();
        let for_all = QuarantineNews {
            losses: Vec::new(),
            ..news
        };
        if !for_all.is_empty() {
            let peers = self.membership.alive(now).map(|peer| peer.address);
            self.send_quarantine(peers.collect(), report(now, for_all), out);
        }
        if !losses.is_empty() {
            let for_witnesses = QuarantineNews {
                losses,
                ..QuarantineNews::default()
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
        let mut actions = Vec::new();
        self.router
            .learn_quarantine(news_of(told_at, report), &mut actions);
        self.router_actions(now, actions, out);
    }
}
