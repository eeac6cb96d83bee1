//! Request limits that overloaded upstreams name, enforced over all daemons together: each limit
//! has an owner daemon that collects reports of the limit and grants permits for requests.
//!
//! The owner belongs to the upstream's failure domain, so that a network partition between failure
//! domains leaves one owner on the side that reaches the upstream. While the owner does not
//! answer, its standby, the daemon that would own the limit without it, grants part of the permits.

use super::configuration::send_notice;
use super::{Daemon, log};
use crate::core::event::{Action, Component, LimitOwner, LimitsNotice, Notice, PullTopic};
use crate::core::membership::Owner;
use crate::core::permit_recipients::LimitRecipients;
use crate::core::permits::{DaemonGrant, GrantRole, LimitReport, PermitRequest};
use crate::core::router::dispatch::RouterAction;
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
        let recipients = self.permit_recipients.of_report(now, &report.upstream);
        let standby = self.standby_recipient(now, &report, recipients);
        let owner = self.address_of(self.owner_of(now, &report));
        let to = standby.into_iter().chain([owner]).collect();
        let limits = LimitsNotice {
            told: vec![report],
            ..LimitsNotice::default()
        };
        self.send_limits(to, limits, out);
    }

    pub(super) fn request_permits(
        &mut self,
        now: Timestamp,
        request: PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let owner = self.address_of(self.owner_of(now, &request.known));
        let upstream = &request.known.upstream;
        let recipients = self.permit_recipients.on_request(now, upstream, owner);
        if let Some(standby) = self.standby_recipient(now, &request.known, recipients) {
            let request = PermitRequest {
                in_place_of: Some(owner),
                ..request.clone()
            };
            self.send_permit_request(standby, request, out);
        }
        self.send_permit_request(owner, request, out);
    }

    fn send_permit_request(&mut self, to: Address, request: PermitRequest, out: &mut Vec<Action>) {
        let limits = LimitsNotice {
            asked: vec![request],
            ..LimitsNotice::default()
        };
        self.send_limits(vec![to], limits, out);
    }

    fn address_of(&self, owner: Owner) -> Address {
        match owner {
            Owner::ThisDaemon => self.identity.address,
            Owner::Peer(address) => address,
        }
    }

    fn standby_of(&self, now: Timestamp, report: &LimitReport) -> Option<Owner> {
        self.membership
            .standby_owner(now, &report.failure_domain, &report.upstream)
    }

    /// The standby of a limit, if messages on the limit go to it besides a peer that owns it. The
    /// limit of a warm-up has none: it ends within seconds, and daemons that have just started
    /// grant no permits of it.
    fn standby_recipient(
        &self,
        now: Timestamp,
        report: &LimitReport,
        recipients: LimitRecipients,
    ) -> Option<Address> {
        let is_warm_up = report.expires_in_ms.is_some();
        let is_own = self.owner_of(now, report) == Owner::ThisDaemon;
        if recipients == LimitRecipients::Owner || is_own || is_warm_up {
            return None;
        }
        let standby = self.standby_of(now, report)?;
        Some(self.address_of(standby))
    }

    /// The role in which this daemon grants permits to a daemon that gets none from `owner`.
    fn role_in_place_of(
        &self,
        now: Timestamp,
        owner: Address,
        report: &LimitReport,
    ) -> Option<GrantRole> {
        match self.owner_of(now, report) {
            Owner::ThisDaemon => Some(GrantRole::Owner),
            Owner::Peer(known) => {
                let is_standby = self.standby_of(now, report) == Some(Owner::ThisDaemon);
                (known == owner && is_standby).then_some(GrantRole::Standby(owner))
            }
        }
    }

    /// Probes an owner that did not answer a permit request, and handles the request in its place
    /// if it does not answer the probe either. This daemon may own the limit by now; the probe then
    /// shows whether the former owner is back.
    fn on_request_in_place_of(
        &mut self,
        now: Timestamp,
        from: Address,
        owner: Address,
        request: &PermitRequest,
        out: &mut Vec<Action>,
    ) {
        let Some(role) = self.role_in_place_of(now, owner, &request.known) else {
            return;
        };
        let step = self.owner_watch.watch(now, owner);
        if step.is_new {
            self.permits.end_standby(owner);
        }
        if step.is_probe_due {
            // The topic with the smallest reply.
            let pull = self.pull_for_topic(now, PullTopic::Moving);
            out.push(Action::Pull { to: owner, pull });
        }
        let Some(silent_since) = step.unreachable_since else {
            return;
        };
        let upstream = &request.known.upstream;
        self.permits.record_report(now, now, &request.known);
        if self.permits.set_role(now, silent_since, upstream, role) {
            let text = format!(
                "granting permits for {upstream} in place of daemon {owner}, which does not answer"
            );
            log(out, Component::Route, text);
        }
        self.on_permit_request(now, from, request, out);
    }

    /// Ends what this daemon does in place of a peer that was unreachable.
    pub(super) fn on_heard_from(&mut self, peer: Address, out: &mut Vec<Action>) {
        if self.owner_watch.on_heard(peer) && self.permits.end_standby(peer) {
            let text = format!("daemon {peer} answers again and grants the permits of its limits");
            log(out, Component::Route, text);
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
    /// daemon is the owner by its own view of the membership, or its standby: otherwise two
    /// daemons could grant permits of one limit while peers see different members.
    pub(super) fn on_limits_notice(
        &mut self,
        now: Timestamp,
        from: Address,
        limits: LimitsNotice,
        out: &mut Vec<Action>,
    ) {
        self.name_owners(now, from, &limits, out);
        for report in limits.told {
            let is_granting = self.owner_of(now, &report) == Owner::ThisDaemon
                || self.permits.is_standby(&report.upstream);
            if is_granting {
                self.permits.record_report(now, now, &report);
            }
        }
        for request in limits.asked {
            if self.owner_of(now, &request.known) != Owner::ThisDaemon {
                self.permits.relinquish(&request.known.upstream);
            }
            if let Some(owner) = request.in_place_of {
                self.on_request_in_place_of(now, from, owner, &request, out);
                continue;
            }
            if self.owner_of(now, &request.known) == Owner::ThisDaemon {
                let upstream = &request.known.upstream;
                self.permits.set_role(now, now, upstream, GrantRole::Owner);
                self.on_permit_request(now, from, &request, out);
            }
        }
        self.broadcast_limit_changes(now, out);
        let mut actions = Vec::new();
        for report in &limits.in_force {
            self.note_active_standby(now, from, report);
            self.router
                .apply_reported_limit(now, now, report, &mut self.rng, &mut actions);
        }
        for grant in &limits.granted {
            if self
                .permit_recipients
                .on_granted(now, &grant.upstream, from)
            {
                self.router.restart_drain_rate(now, &grant.upstream);
            }
            self.router
                .on_permits(now, grant, &mut self.rng, &mut actions);
        }
        for named in limits.owners {
            self.on_owner_named(now, named, &mut actions);
        }
        self.handle_router_actions(now, actions, out);
    }

    /// Names the owners of limits to a daemon that takes another one for their owner. The members
    /// of a failure domain know each other, and others know only some of them.
    fn name_owners(
        &self,
        now: Timestamp,
        to: Address,
        limits: &LimitsNotice,
        out: &mut Vec<Action>,
    ) {
        let reports = limits.told.iter().map(|report| (report, None));
        let requests = limits.asked.iter();
        let requests = requests.map(|request| (&request.known, request.in_place_of));
        let owners: Vec<LimitOwner> = reports
            .chain(requests)
            .filter_map(|(report, in_place_of)| self.misjudged_owner(now, report, in_place_of))
            .collect();
        if owners.is_empty() || to == self.identity.address {
            return;
        }
        let limits = LimitsNotice {
            owners,
            ..LimitsNotice::default()
        };
        let notice = Notice {
            limits,
            ..self.notice()
        };
        send_notice(vec![to], &notice, out);
    }

    /// The owner of a limit, if it is not the daemon that the sender of a message takes for it:
    /// this one, or the one in whose place this one was asked.
    fn misjudged_owner(
        &self,
        now: Timestamp,
        report: &LimitReport,
        in_place_of: Option<Address>,
    ) -> Option<LimitOwner> {
        let Owner::Peer(address) = self.owner_of(now, report) else {
            return None;
        };
        let knows_domain = report.failure_domain == self.identity.failure_domain;
        if !knows_domain || in_place_of == Some(address) {
            return None;
        }
        let owner = self.membership.heartbeat_of(now, address)?;
        Some(LimitOwner {
            upstream: report.upstream.clone(),
            failure_domain: report.failure_domain.clone(),
            owner: owner.clone(),
        })
    }

    /// Records the owner of a limit, and repeats reports and requests that another daemon received
    /// in its place.
    fn on_owner_named(
        &mut self,
        now: Timestamp,
        named: LimitOwner,
        actions: &mut Vec<RouterAction>,
    ) {
        let owner = |daemon: &Self| {
            let membership = &daemon.membership;
            membership.owner(now, &named.failure_domain, &named.upstream)
        };
        let before = owner(self);
        self.membership.merge_member(now, named.owner.clone());
        if owner(self) == before {
            return;
        }
        self.router
            .on_owner_changed(now, &named.upstream, &mut self.rng, actions);
    }

    /// Notes that the standby of a limit acts for the owner, so that permit requests go to it too.
    fn note_active_standby(&mut self, now: Timestamp, from: Address, report: &LimitReport) {
        let owner = self.address_of(self.owner_of(now, report));
        let standby = self.standby_of(now, report);
        let is_standby = standby.is_some_and(|standby| self.address_of(standby) == from);
        if !is_standby || from == owner {
            return;
        }
        let upstream = &report.upstream;
        if self
            .permit_recipients
            .on_standby_active(now, upstream, owner)
        {
            self.router.restart_drain_rate(now, upstream);
        }
    }
}
