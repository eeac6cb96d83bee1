//! Lists and watches objects on the platform, applies them, and notifies peers of changes.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use super::{CallPurpose, Daemon, NOTICE_FANOUT, WATCH_DUTY, WATCH_RETRY_DELAY, log};
use crate::core::claim_witnesses::ClaimsNotice;
use crate::core::event::{Action, Component, LimitsNotice, Notice, QuarantineReport};
use crate::core::feed::{Confirmation, Feed};
use crate::core::fleet_state::{ApplyResult, ObjectUpdate};
use crate::core::objects::{Object, ObjectKey};
use crate::core::platform::{
    EraScope, Freshness, PlatformCall, PlatformReply, PlatformResult, Scope,
};
use crate::core::router::topology;
use crate::core::routes::RouteTable;
use crate::core::types::{Address, FailureDomain, FleetVersion, ReplicaId, Timestamp};
use crate::settings::learning::FeedLayout;

/// The interval between two host watches of a daemon. It grows with the number of daemons that
/// read the host list, so that calls grow more slowly than the fleet, up to a maximum that keeps
/// daemons from using a leaving host for too long.
fn host_watch_spacing(spacing: Duration, daemons: usize) -> Duration {
    /// Number of daemons up to which the configured spacing applies unchanged.
    const UNSTRETCHED_DAEMONS: f64 = 16.0;
    /// Longest interval, unless the configured spacing is longer.
    const MAX_SPACING: Duration = Duration::from_millis(1_200);
    let stretched = spacing.mul_f64((daemons as f64 / UNSTRETCHED_DAEMONS).max(1.0));
    stretched.min(MAX_SPACING.max(spacing))
}

/// How long a watch of the evacuations waits for a change. A watch that was lost without an error
/// is repeated after this time, well before an evacuation must be known everywhere.
const EVACUATION_WAIT: Duration = Duration::from_secs(2);

/// The confirmation of the higher revision, or the later of two for the same revision.
fn newer_confirmation(
    known: Option<Confirmation>,
    other: Option<Confirmation>,
) -> Option<Confirmation> {
    let order = |one: &Confirmation| (one.revision, one.at);
    known.into_iter().chain(other).max_by_key(order)
}

impl Daemon {
    /// Issues the next call of each feed: a list first, then watches if this daemon is one that
    /// watches the scope.
    pub(super) fn poll_feeds(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.has_stopped {
            return;
        }
        let settings = self.settings.learning;
        for index in 0..self.feeds.len() {
            let scope = self.feeds[index].scope();
            if !self.should_read(now, scope) {
                if scope == Scope::Hosts {
                    self.stop_reading_hosts(index);
                }
                continue;
            }
            if scope == Scope::Hosts && settings.relays {
                self.prefer_peer_host_list(now, index);
            }
            let watch = self.watch_freshness(now, scope);
            let wait = match (scope, watch) {
                (Scope::Evacuations, _) => EVACUATION_WAIT,
                (Scope::Hosts, _) | (_, Some(Freshness::MayBeStale)) => settings.host_wait,
                _ => settings.watch_wait,
            };
            let call = self.feeds[index].next_call(now, watch, wait);
            if let Some(call) = call {
                self.call_platform(CallPurpose::Feed(index), call, out);
            }
        }
    }

    /// Whether this daemon reads a scope from the platform now rather than from peers.
    fn should_read(&self, now: Timestamp, scope: Scope) -> bool {
        let settings = self.settings.learning;
        match scope {
            _ if !settings.relays => true,
            Scope::Hosts => self.should_read_hosts(now),
            Scope::Shared | Scope::Configuration | Scope::Evacuations | Scope::SharedLeases => {
                // At the start, peers have as much time to confirm as they do later.
                let confirmed_at = self.confirmed_at().unwrap_or(Timestamp::ZERO);
                let is_confirmed = now.since(confirmed_at) < self.exact_read_delay(now);
                self.may_read(now) && !is_confirmed
            }
        }
    }

    /// How long after the last confirmation of the configuration this daemon reads it from the
    /// platform itself, where peers relay: the first watcher immediately, the other watchers
    /// after the first one has failed, and all other daemons last.
    fn exact_read_delay(&self, now: Timestamp) -> Duration {
        let settings = self.settings.learning;
        if self.is_primary_watcher(now) {
            Duration::ZERO
        } else if self.is_watcher(now) {
            (settings.confirm_after + settings.ask_after) / 2
        } else {
            settings.ask_after
        }
    }

    /// Whether this daemon is the one watcher of its failure domain that always confirms the
    /// configuration.
    pub(super) fn is_primary_watcher(&self, now: Timestamp) -> bool {
        self.membership.is_responsible(now, WATCH_DUTY, 1)
    }

    /// The freshness with which this daemon watches a scope, or `None` if it doesn't watch it.
    /// The watchers of a failure domain require exact answers. With stale watches the other
    /// daemons watch too, and accept stale answers while a watcher confirms the configuration.
    fn watch_freshness(&self, now: Timestamp, scope: Scope) -> Option<Freshness> {
        let settings = self.settings.learning;
        if !settings.stale_watches {
            return self.is_watcher(now).then_some(Freshness::Exact);
        }
        let needs_exact = match scope {
            Scope::Hosts => self.is_lease_holder && !self.controller.trusts_absence(),
            Scope::Shared | Scope::Configuration | Scope::Evacuations | Scope::SharedLeases => {
                self.is_watcher(now) || !self.is_confirmed_within(now, settings.ask_after)
            }
        };
        Some(if needs_exact {
            Freshness::Exact
        } else {
            Freshness::MayBeStale
        })
    }

    /// Whether this daemon is one of the watchers of its failure domain.
    pub(super) fn is_watcher(&self, now: Timestamp) -> bool {
        let watchers = self.settings.learning.watchers;
        self.membership.is_responsible(now, WATCH_DUTY, watchers)
    }

    pub(super) fn is_confirmed_within(&self, now: Timestamp, within: Duration) -> bool {
        self.confirmed_at()
            .is_some_and(|confirmed_at| now.since(confirmed_at) < within)
    }

    pub(super) fn on_feed_reply(
        &mut self,
        now: Timestamp,
        index: usize,
        result: &PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let jitter = self.rng.random_range(0.0..1.0);
        let pause = WATCH_RETRY_DELAY.mul_f64(1.0 + jitter);
        let feed = &self.feeds[index];
        let scope = feed.scope();
        let confirmation = feed.confirmation(result);
        self.check_revision(confirmation, out);
        self.record_confirmation(now, confirmation);
        let feed = &mut self.feeds[index];
        let spacing = match scope {
            // The lease holder acts on host changes, so it watches three times as often.
            Scope::Hosts if self.is_lease_holder => self.settings.learning.host_spacing / 3,
            Scope::Hosts if self.settings.learning.relays => self.settings.learning.host_spacing,
            Scope::Hosts => {
                let daemons = self.membership.fleet_size(now);
                host_watch_spacing(self.settings.learning.host_spacing, daemons)
            }
            Scope::Shared | Scope::Configuration | Scope::Evacuations | Scope::SharedLeases => {
                Duration::ZERO
            }
        };
        feed.on_answer(now, result, spacing, pause, self.confirmation);
        let is_list_known = scope != Scope::Hosts || self.state.full_hosts().is_some();
        if feed.has_listed() && !is_list_known {
            // The list was older than the one known from peers.
            feed.relist(now);
        }
        if matches!(result, Ok(PlatformReply::Objects { .. })) {
            self.rewrite_lost_fleet(now, out);
        }
    }

    /// Records proof of a revision that the platform has reached.
    pub(super) fn record_confirmation(
        &mut self,
        now: Timestamp,
        confirmation: Option<Confirmation>,
    ) {
        let known = self.confirmation.map(|known| known.revision);
        self.confirmation = newer_confirmation(self.confirmation, confirmation);
        if self.confirmation.map(|newest| newest.revision) > known {
            self.revision_known_at = now;
        }
    }

    /// Reports an exact answer whose revision is lower than one that was known before the call, in
    /// the same era: the store has lost writes without a new era. The answer proves nothing.
    fn check_revision(&mut self, answer: Option<Confirmation>, out: &mut Vec<Action>) {
        let (Some(answer), Some(known)) = (answer, self.confirmation) else {
            return;
        };
        let is_same_era = answer.revision.era == known.revision.era;
        let is_lower = is_same_era && answer.revision < known.revision;
        if !is_lower || answer.at < self.revision_known_at {
            return;
        }
        self.lower_revisions += 1;
        if self.lower_revisions == 1 {
            let text = format!(
                "answered with revision {} after {}; the store lost writes within an era, their objects may be out of date here",
                answer.revision, known.revision
            );
            log(out, Component::Platform, text);
        }
    }

    /// Rewrites a configuration that the store lost, in layouts where daemons write
    /// configurations.
    fn rewrite_lost_fleet(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let writes = self.settings.learning.feeds == FeedLayout::Shared;
        if !writes || !self.state.is_fleet_lost() || !self.is_primary_watcher(now) {
            return;
        }
        let Some(fleet) = self.state.fleet() else {
            return;
        };
        let version = fleet.fleet_version();
        let request = PlatformCall::Put {
            key: ObjectKey::Fleet,
            scope: EraScope::Shared,
            expect: self.state.stored_fleet_version(),
            object: Box::new(Object::Fleet(fleet.value.clone())),
        };
        let text = format!("platform lost Fleet version {version}; rewriting it");
        log(out, Component::Config, text);
        self.call_platform(CallPurpose::RewriteFleet, request, out);
    }

    /// The latest time at which the configuration in force is known to have been the newest.
    pub(super) fn confirmed_at(&self) -> Option<Timestamp> {
        let own = self
            .feeds
            .iter()
            .find(|feed| matches!(feed.scope(), Scope::Shared | Scope::Configuration))
            .and_then(Feed::as_of);
        own.max(self.confirmed_by_peer)
    }

    /// The latest time at which the host list is known to have been current.
    pub(super) fn hosts_as_of(&self) -> Option<Timestamp> {
        let feed = self
            .feeds
            .iter()
            .find(|feed| matches!(feed.scope(), Scope::Shared | Scope::Hosts));
        feed.and_then(Feed::as_of)
    }

    /// The time until which requests with an API key may be sent with the known configuration, or
    /// `None` if keys don't expire. A start confirms nothing: a daemon that has just started
    /// counts from the last confirmation before its start, and without one sends no such request.
    pub(super) fn keys_valid_until(&self) -> Option<Timestamp> {
        let valid_for = self.settings.learning.keys_valid_for()?;
        if let Some(confirmed_at) = self.confirmed_at() {
            return Some(confirmed_at + valid_for);
        }
        let age_at_start = self.confirmed_age_at_start.unwrap_or(valid_for);
        Some(Timestamp::ZERO + valid_for.saturating_sub(age_at_start))
    }

    /// Whether a newer configuration has been known to exist for so long that requests must not
    /// be served with this one. This covers a link too busy to deliver the newer configuration in
    /// time: callers are asked to retry, where otherwise a revoked key or a removed route would
    /// still be used. A daemon that is cut off from every daemon that knows the newer
    /// configuration keeps serving.
    pub(super) fn is_out_of_date(&self, now: Timestamp) -> bool {
        let within = self.settings.learning.superseded_grace_period();
        within.is_some_and(|within| self.superseded.is_outdated_for(now, within))
    }

    /// Applies objects that are newer than the known ones, and notifies peers of them.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        updates: Vec<ObjectUpdate>,
        out: &mut Vec<Action>,
    ) {
        let mut is_changed = false;
        let mut needs_notice = false;
        let evacuated: BTreeSet<FailureDomain> =
            self.state.evacuated().into_iter().cloned().collect();
        let lost_evacuations = self.state.lost_evacuations();
        for update in updates {
            let (key, version) = (update.key.clone(), update.version);
            let fleet_version = update.fleet_version();
            let hosts_answered_at = self.host_list_answered_at();
            let previous_hosts_era = self.state.hosts_version().era;
            let applied = self.state.apply(update);
            if self.state.hosts_version().era != previous_hosts_era {
                self.keep_earlier_hosts(now, hosts_answered_at);
            }
            if let Some(version) = fleet_version.filter(|_| applied == ApplyResult::Unchanged) {
                self.log_ignored_version(version, out);
            }
            if applied == ApplyResult::Changed {
                is_changed = true;
                // Daemons that relay the host list pull it at intervals and need no notice.
                needs_notice |= key != ObjectKey::Hosts || !self.settings.learning.relays;
                let text = format!("{key:?} version {version} is in force");
                log(out, Component::Config, text);
            }
        }
        if is_changed {
            self.superseded.on_accepted(self.state.fleet_version());
            self.rebuild_routes(now, out);
            self.rebuild_topology(now);
            self.adopt_stored_culprits(now, out);
            self.keep_lost_evacuations(now, &lost_evacuations, out);
            self.on_evacuations_changed(now, &evacuated, out);
        }
        if needs_notice {
            self.membership
                .set_fleet_version(self.state.fleet_version());
            self.notify_random_peers(now, out);
        }
    }

    /// Logs evacuations that began or ended. Upstreams of a failure domain that serves again may
    /// have been idle for long, so they warm up first.
    pub(super) fn on_evacuations_changed(
        &mut self,
        now: Timestamp,
        before: &BTreeSet<FailureDomain>,
        out: &mut Vec<Action>,
    ) {
        let evacuated = self.state.evacuated();
        for domain in evacuated.iter().filter(|domain| !before.contains(**domain)) {
            let hosts = self.state.routed_hosts().into_iter();
            let mut hosts = hosts.flat_map(|list| list.hosts.values());
            let is_known = hosts.any(|host| host.failure_domain == **domain);
            let unknown = if is_known {
                ""
            } else {
                "; no host of it is known"
            };
            let text = format!("{domain} is evacuated: its upstreams get no requests{unknown}");
            log(out, Component::Route, text);
        }
        let ended = before.iter().filter(|domain| !evacuated.contains(domain));
        for domain in ended {
            let text = format!("the evacuation of {domain} ended: its upstreams warm up");
            log(out, Component::Route, text);
            self.router.restart_warm_ups(now, domain);
        }
    }

    /// Logs, once per version, that a configuration older than the one in force was ignored.
    fn log_ignored_version(&mut self, version: FleetVersion, out: &mut Vec<Action>) {
        let in_force = self.state.fleet_version();
        if version == in_force || self.last_ignored_version.replace(version) == Some(version) {
            return;
        }
        let text = format!("ignored Fleet version {version}: {in_force} is in force");
        log(out, Component::Config, text);
    }

    /// Rebuilds the route table for a new configuration. Queued requests whose key is no longer
    /// valid end here.
    fn rebuild_routes(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let Some(fleet) = self.state.fleet() else {
            return;
        };
        if fleet.fleet_version() == self.routes.version() {
            return;
        }
        self.routes = RouteTable::new(fleet.fleet_version(), &fleet.value);
        let mut actions = Vec::new();
        let routes = &self.routes;
        self.router
            .recheck_keys(|key| routes.holder(key).is_some(), &mut actions);
        self.handle_router_actions(now, actions, out);
    }

    pub(super) fn rebuild_topology(&mut self, now: Timestamp) {
        let topology = topology::build(
            &self.state,
            &self.identity.daemon,
            &self.identity.failure_domain,
            &self.settings.router,
            |target| self.router.candidate_factor(target),
        );
        self.router.set_topology(now, topology);
    }

    pub(super) fn notify_random_peers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let peers = self
            .membership
            .random_peers(now, NOTICE_FANOUT, &mut self.rng);
        self.notify(peers, Vec::new(), out);
    }

    pub(super) fn notify(&self, peers: Vec<Address>, lost: Vec<ReplicaId>, out: &mut Vec<Action>) {
        let notice = Notice {
            lost,
            ..self.notice()
        };
        send_notice(peers, &notice, out);
    }

    /// A notice that carries only the known versions.
    pub(super) fn notice(&self) -> Notice {
        Notice {
            from: self.identity.address,
            digest: self.state.digest(),
            lost: Vec::new(),
            quarantine: QuarantineReport::default(),
            limits: LimitsNotice::default(),
            claims: ClaimsNotice::default(),
            silent: Vec::new(),
        }
    }
}

/// Sends the same notice to all these peers.
pub(super) fn send_notice(peers: Vec<Address>, notice: &Notice, out: &mut Vec<Action>) {
    for to in peers {
        let notice = notice.clone();
        out.push(Action::Notify { to, notice });
    }
}
