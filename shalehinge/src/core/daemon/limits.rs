//! Request limits that overloaded upstreams name, enforced over all daemons together: each limit
//! has an owner daemon that collects reports of the limit and grants permits for requests.
//!
//! The owner belongs to the upstream's failure domain, so that a network partition between failure
//! domains leaves one owner on the side that reaches the upstream.

use super::configuration::send_notice;
use super::{Daemon, log};
use crate::core::event::{Action, Component, LimitsNotice, Notice};
use crate::core::membership::Owner;
use crate::core::permits::{DaemonGrant, LimitReport, PermitRequest};
use crate::core::types::{Address, Timestamp};

impl Daemon {
    fn owner_of(&self, now: Timestamp, report: &LimitReport) -> Owner {
        self.membership
            .owner(now, &report.failure_domain, &report.upstream)
    }

    /// Reports a limit that an upstream named in a response to the owner of the limit.
    pub(super) fn report_limit(
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

    pub(super) fn request_permits(
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
            Owner::ThisDaemon => self.identity.address,
            Owner::Peer(owner) => owner,
        }
    }

    fn on_permit_request(
        &mut self,
        now: Timestamp,
        from: Address,
        request: &PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let upstream = &request.known.upstream;
        self.permits.record_report(now, now, &request.known);
        self.permits
            .queue_request(now, from, upstream, request.wanted);
        let in_force = self.permits.report(now, upstream);
        let in_force: Vec<LimitReport> = in_force
            .into_iter()
            .filter(|report| report.rate.is_none())
            .collect();
        if !in_force.is_empty() {
            // The requesting daemon missed that the limit ended.
            let limits = LimitsNotice {
                in_force,
                ..LimitsNotice::default()
            };
            self.send_limits(vec![from], limits, out);
        }
        self.grant_permits(now, out);
    }

    /// Grants permits of the limits that this daemon owns, and notifies all daemons of limits that
    /// began or ended.
    pub(super) fn tick_limits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        self.grant_permits(now, out);
        self.broadcast_limit_changes(now, out);
    }

    fn grant_permits(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for DaemonGrant { daemon, grant } in self.permits.grant(now) {
            let text = format!(
                "granting permits for {} requests to {} to daemon {daemon}",
                grant.count, grant.upstream
            );
            log(out, Component::Route, text);
            let limits = LimitsNotice {
                granted: vec![grant],
                ..LimitsNotice::default()
            };
            self.send_limits(vec![daemon], limits, out);
        }
    }

    fn broadcast_limit_changes(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let in_force = self.permits.take_due_broadcasts(now);
        if in_force.is_empty() {
            return;
        }
        let peers = self.membership.live_peers(now).map(|peer| peer.address);
        let all = peers.chain([self.identity.address]).collect();
        let limits = LimitsNotice {
            in_force,
            ..LimitsNotice::default()
        };
        self.send_limits(all, limits, out);
    }

    /// Sends a limits notice to daemons. If this daemon is among them, its copy is queued for
    /// [`Self::process_own_limit_notices`].
    fn send_limits(&mut self, to: Vec<Address>, limits: LimitsNotice, out: &mut Vec<Action>) {
        let own_address = self.identity.address;
        let notice = Notice {
            limits,
            ..self.notice()
        };
        let peers = to.iter().copied().filter(|address| *address != own_address);
        send_notice(peers.collect(), &notice, out);
        if to.contains(&own_address) {
            self.own_limit_notices.push(notice.limits);
        }
    }

    /// Processes the limit notices that this daemon addressed to itself.
    pub(super) fn process_own_limit_notices(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let own_address = self.identity.address;
        for limits in std::mem::take(&mut self.own_limit_notices) {
            self.on_limits_notice(now, own_address, limits, out);
        }
    }

    /// Processes a limits notice of a peer. Reports and permit requests are accepted only if this
    /// daemon is the owner by its own view of the membership: otherwise two daemons could grant
    /// permits of one limit while peers see different members.
    pub(super) fn on_limits_notice(
        &mut self,
        now: Timestamp,
        from: Address,
        limits: LimitsNotice,
        out: &mut Vec<Action>,
    ) {
        for report in limits.told {
            if self.owner_of(now, &report) == Owner::ThisDaemon {
                self.permits.record_report(now, now, &report);
            }
        }
        for request in limits.asked {
            if self.owner_of(now, &request.known) == Owner::ThisDaemon {
                self.on_permit_request(now, from, &request, out);
            }
        }
        self.broadcast_limit_changes(now, out);
        let mut actions = Vec::new();
        for report in &limits.in_force {
            self.router
                .apply_reported_limit(now, now, report, &mut self.rng, &mut actions);
        }
        for grant in &limits.granted {
            self.router
                .on_permits(now, grant, &mut self.rng, &mut actions);
        }
        self.handle_router_actions(now, actions, out);
    }
}
