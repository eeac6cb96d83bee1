//! How many requests upstreams in need take from all daemons together: who owns a limit, what its
//! owner is told, and the permits that it hands out.
//!
//! A limit's owner is a daemon of the upstream's failure domain, so that a cut between failure
//! domains leaves it one owner on the side that reaches it.

use super::configuration::send_notice;
use super::{Daemon, log};
use crate::core::event::{Action, LimitsNotice, Notice, Part};
use crate::core::membership::Owner;
use crate::core::permits::{Granted, LimitReport, PermitRequest};
use crate::core::types::{Address, Timestamp};

impl Daemon {
    fn owner_of(&self, now: Timestamp, report: &LimitReport) -> Owner {
        self.membership
            .owner(now, &report.failure_domain, &report.upstream)
    }

    /// Tells a limit's owner what an answer said.
    pub(super) fn tell_limit(
        &mut self,
        now: Timestamp,
        report: LimitReport,
        out: &mut Vec<Action>,
    ) {
        let owner = self.owner_address(now, &report);
        let limits = LimitsNotice {
            told: vec![report],
            ..LimitsNotice::default()
        };
        self.send_limits(vec![owner], limits, out);
    }

    pub(super) fn ask_permits(
        &mut self,
        now: Timestamp,
        request: PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let owner = self.owner_address(now, &request.known);
        let limits = LimitsNotice {
            asked: vec![request],
            ..LimitsNotice::default()
        };
        self.send_limits(vec![owner], limits, out);
    }

    fn owner_address(&self, now: Timestamp, report: &LimitReport) -> Address {
        match self.owner_of(now, report) {
            Owner::Me => self.identity.address,
            Owner::Peer(owner) => owner,
        }
    }

    fn on_permits_asked(
        &mut self,
        now: Timestamp,
        from: Address,
        request: &PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let upstream = &request.known.upstream;
        self.permits.learn(now, now, &request.known);
        self.permits.ask(now, from, upstream, request.wanted);
        let in_force = self.permits.report(now, upstream);
        let in_force: Vec<LimitReport> = in_force
            .into_iter()
            .filter(|report| report.rate.is_none())
            .collect();
        if !in_force.is_empty() {
            // The asker has missed that the limit ended.
            let limits = LimitsNotice {
                in_force,
                ..LimitsNotice::default()
            };
            self.send_limits(vec![from], limits, out);
        }
        self.grant_permits(now, out);
    }

    /// Hands out permits of the limits that this daemon owns, and tells all of those that
    /// began or ended.
    pub(super) fn tick_limits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.grant_permits(now, out);
        self.tell_limits_in_force(now, out);
    }

    fn grant_permits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for Granted { daemon, grant } in self.permits.grant(now) {
            let text = format!(
                "grants {} requests at {} to {daemon}",
                grant.count, grant.upstream
            );
            log(out, Part::Route, text);
            let limits = LimitsNotice {
                granted: vec![grant],
                ..LimitsNotice::default()
            };
            self.send_limits(vec![daemon], limits, out);
        }
    }

    fn tell_limits_in_force(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let in_force = self.permits.news(now);
        if in_force.is_empty() {
            return;
        }
        let peers = self.membership.alive(now).map(|peer| peer.address);
        let all = peers.chain([self.identity.address]).collect();
        let limits = LimitsNotice {
            in_force,
            ..LimitsNotice::default()
        };
        self.send_limits(all, limits, out);
    }

    /// Sends to peers; what is for this daemon itself is taken in at once.
    fn send_limits(&mut self, to: Vec<Address>, limits: LimitsNotice, out: &mut Vec<Action>) {
        let me = self.identity.address;
        let notice = Notice {
            limits,
            ..self.notice()
        };
        let peers = to.iter().copied().filter(|address| *address != me);
        send_notice(peers.collect(), &notice, out);
        if to.contains(&me) {
            self.own_limits.push(notice.limits);
        }
    }

    /// Takes in what this daemon, as an owner, has for itself.
    pub(super) fn take_own_limits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let me = self.identity.address;
        for limits in std::mem::take(&mut self.own_limits) {
            self.on_limits_told(now, me, limits, out);
        }
    }

    /// Takes in what a peer tells. Only a limit's owner by this daemon's own view answers for it:
    /// else two would hand out permits where peers see other members.
    pub(super) fn on_limits_told(
        &mut self,
        now: Timestamp,
        from: Address,
        limits: LimitsNotice,
        out: &mut Vec<Action>,
    ) {
        for report in limits.told {
            if self.owner_of(now, &report) == Owner::Me {
                self.permits.learn(now, now, &report);
            }
        }
        for request in limits.asked {
            if self.owner_of(now, &request.known) == Owner::Me {
                self.on_permits_asked(now, from, &request, out);
            }
        }
        self.tell_limits_in_force(now, out);
        let mut actions = Vec::new();
        for report in &limits.in_force {
            self.router
                .apply_reported_limit(now, now, report, &mut self.rng, &mut actions);
        }
        for grant in &limits.granted {
            self.router
                .on_permits(now, grant, &mut self.rng, &mut actions);
        }
        self.router_actions(now, actions, out);
    }
}
