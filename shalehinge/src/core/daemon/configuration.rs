//! Which objects are in force: listed, watched, spread.

use std::time::Duration;

use rand::Rng;

use super::{Daemon, Purpose, RUMOUR_FANOUT, WATCH_DUTY, WATCH_PAUSE, log};
use crate::core::event::{Action, LimitsNotice, Notice, Part, QuarantineReport};
use crate::core::feed::{Confirmation, Feed};
use crate::core::fleet_state::{Applied, ObjectUpdate};
use crate::core::objects::{Object, ObjectKey};
use crate::core::platform::{Freshness, PlatformCall, PlatformReply, PlatformResult, Scope};
use crate::core::router::topology;
use crate::core::routes::RouteTable;
use crate::core::types::{Address, FleetVersion, ReplicaId, Timestamp};
use crate::settings::learning::FeedLayout;

/// The more daemons read the host list, the more rarely each does, so that the calls
/// grow more slowly than the fleet; never so rarely that a leaving host is used on.
fn spacing_among(spacing: Duration, daemons: usize) -> Duration {
    /// Daemons up to which the spacing is that of the settings.
    const FEW: f64 = 16.0;
    const MOST: Duration = Duration::from_millis(1_200);
    let stretched = spacing.mul_f64((daemons as f64 / FEW).max(1.0));
    stretched.min(MOST.max(spacing))
}

/// The confirmation of the higher revision; of two for the same, the later one.
pub(super) fn newer(
    known: Option<Confirmation>,
    other: Option<Confirmation>,
) -> Option<Confirmation> {
    let order = |one: &Confirmation| (one.revision, one.at);
    known.into_iter().chain(other).max_by_key(order)
}

impl Daemon {
    /// Reads each feed once, then watches it if it is this daemon's turn.
    pub(super) fn learn(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.has_stopped {
            return;
        }
        let settings = self.settings.learning;
        for index in 0..self.feeds.len() {
            let scope = self.feeds[index].scope();
            if !self.reads(now, scope) {
                if scope == Scope::Hosts {
                    self.stop_reading_hosts(index);
                }
                continue;
            }
            if scope == Scope::Hosts && settings.relays {
                self.prefer_news_of_peers(now, index);
            }
            let watch = self.watch_of(now, scope);
            let is_slow = scope == Scope::Hosts || watch == Some(Freshness::MayBeStale);
            let wait = if is_slow {
                settings.host_wait
            } else {
                settings.watch_wait
            };
            let call = self.feeds[index].next_call(now, watch, wait);
            if let Some(call) = call {
                self.call(Purpose::Feed(index), call, out);
            }
        }
    }

    /// Whether this daemon reads a scope from the platform now, or peers tell it.
    fn reads(&self, now: Timestamp, scope: Scope) -> bool {
        let settings = self.settings.learning;
        match scope {
            _ if !settings.relays => true,
            Scope::Hosts => self.reads_hosts(now),
            Scope::Shared | Scope::Configuration => {
                // A daemon that just started gives its peers as much time as later.
                let confirmed_at = self.confirmed_at().unwrap_or(Timestamp::ZERO);
                let is_confirmed = now.since(confirmed_at) < self.asks_exactly_after(now);
                self.may_read(now) && !is_confirmed
            }
        }
    }

    /// How long after the configuration was confirmed this daemon asks the platform, where
    /// peers relay: the first watcher always, the others once that one has failed, who
    /// are no watchers last.
    fn asks_exactly_after(&self, now: Timestamp) -> Duration {
        let settings = self.settings.learning;
        if self.is_first_watcher(now) {
            Duration::ZERO
        } else if self.is_watcher(now) {
            (settings.confirm_after + settings.ask_after) / 2
        } else {
            settings.ask_after
        }
    }

    /// Whether this daemon is the one that peers rely on for a confirmed configuration.
    pub(super) fn is_first_watcher(&self, now: Timestamp) -> bool {
        self.membership.is_responsible(now, WATCH_DUTY, 1)
    }

    /// How this daemon watches a scope now, if it does. The watchers of a failure
    /// domain ask exactly. Where the others watch too, stale answers do for them as
    /// long as a watcher confirms the configuration.
    fn watch_of(&self, now: Timestamp, scope: Scope) -> Option<Freshness> {
        let settings = self.settings.learning;
        if !settings.stale_watches {
            return self.is_watcher(now).then_some(Freshness::Exact);
        }
        let needs_exact = match scope {
            Scope::Hosts => self.was_holder && !self.controller.trusts_absence(),
            Scope::Shared | Scope::Configuration => {
                self.is_watcher(now) || !self.is_confirmed_within(now, settings.ask_after)
            }
        };
        Some(if needs_exact {
            Freshness::Exact
        } else {
            Freshness::MayBeStale
        })
    }

    /// Whether this daemon is one of its failure domain's watchers.
    pub(super) fn is_watcher(&self, now: Timestamp) -> bool {
        let watchers = self.settings.learning.watchers;
        self.membership.is_responsible(now, WATCH_DUTY, watchers)
    }

    pub(super) fn is_confirmed_within(&self, now: Timestamp, within: Duration) -> bool {
        self.confirmed_at()
            .is_some_and(|confirmed_at| now.since(confirmed_at) < within)
    }

    pub(super) fn on_fed(
        &mut self,
        now: Timestamp,
        index: usize,
        result: &PlatformResult,
        out: &mut Vec<Action>,
    ) {
        let jitter = self.rng.random_range(0.0..1.0);
        let pause = WATCH_PAUSE.mul_f64(1.0 + jitter);
        let feed = &mut self.feeds[index];
        let scope = feed.scope();
        self.confirmation = newer(self.confirmation, feed.confirmation(result));
        let spacing = match scope {
            // Whoever holds control is the first to need the news.
            Scope::Hosts if self.was_holder => self.settings.learning.host_spacing / 3,
            Scope::Hosts if self.settings.learning.relays => self.settings.learning.host_spacing,
            Scope::Hosts => {
                let daemons = self.membership.fleet_size(now);
                spacing_among(self.settings.learning.host_spacing, daemons)
            }
            Scope::Shared | Scope::Configuration => Duration::ZERO,
        };
        feed.on_answer(now, result, spacing, pause, self.confirmation);
        let is_list_known = scope != Scope::Hosts || self.state.whole_hosts().is_some();
        if feed.has_listed() && !is_list_known {
            // The list was older than what peers told.
            feed.list_again(now);
        }
        if matches!(result, Ok(PlatformReply::Objects { .. })) {
            self.rewrite_lost_fleet(now, out);
        }
    }

    /// Writes a configuration again that the store lost, where daemons write configurations.
    fn rewrite_lost_fleet(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let writes = self.settings.learning.feeds == FeedLayout::Shared;
        if !writes || !self.state.is_fleet_lost() || !self.is_first_watcher(now) {
            return;
        }
        let Some(fleet) = self.state.fleet() else {
            return;
        };
        let version = fleet.fleet_version();
        let request = PlatformCall::Put {
            key: ObjectKey::Fleet,
            expect: self.state.stored_fleet_version(),
            object: Box::new(Object::Fleet(fleet.value.clone())),
        };
        let text = format!("the platform lost Fleet version {version}, it is written again");
        log(out, Part::Config, text);
        self.call(Purpose::RewriteFleet, request, out);
    }

    /// The time of which the configuration in force is known to be the newest.
    pub(super) fn confirmed_at(&self) -> Option<Timestamp> {
        let own = self
            .feeds
            .iter()
            .find(|feed| feed.scope() != Scope::Hosts)
            .and_then(Feed::as_of);
        own.max(self.confirmed_by_peer)
    }

    /// The time of which the host list is known to be true.
    pub(super) fn hosts_as_of(&self) -> Option<Timestamp> {
        let feed = self
            .feeds
            .iter()
            .find(|feed| feed.scope() != Scope::Configuration);
        feed.and_then(Feed::as_of)
    }

    /// Until when requests with a key may be sent on what is known now. A daemon that just
    /// started may know only a confirmation from before, and none lets it send nothing: its
    /// start confirms nothing.
    pub(super) fn keys_valid_until(&self) -> Option<Timestamp> {
        let valid_for = self.settings.learning.keys_valid_for()?;
        if let Some(confirmed_at) = self.confirmed_at() {
            return Some(confirmed_at + valid_for);
        }
        let before_start = self.confirmed_before_start.unwrap_or(valid_for);
        Some(Timestamp::ZERO + valid_for.saturating_sub(before_start))
    }

    /// Whether a newer configuration has been known of for so long that this one must not be
    /// served by. Guards against a link that is too full for the newer one: callers are told
    /// to come back, where a key that was taken away or a route that is gone would be used.
    /// A daemon that is cut off from all who know the newer one serves on.
    pub(super) fn is_out_of_date(&self, now: Timestamp) -> bool {
        let within = self.settings.learning.superseded_grace_period();
        within.is_some_and(|within| self.superseded.is_known_for(now, within))
    }

    /// Takes in objects that are newer, and tells peers of them.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        updates: Vec<ObjectUpdate>,
        out: &mut Vec<Action>,
    ) {
        let mut is_changed = false;
        let mut is_news = false;
        for update in updates {
            let (key, version) = (update.key.clone(), update.version);
            let fleet_version = update.fleet_version();
            let heard_at = self.host_list_heard_at();
            let era_of_hosts = self.state.hosts_version().era;
            let applied = self.state.apply(update);
            if self.state.hosts_version().era != era_of_hosts {
                self.note_earlier_hosts(now, heard_at);
            }
            if let Some(version) = fleet_version.filter(|_| applied == Applied::Nothing) {
                self.note_passed_over(version, out);
            }
            if applied == Applied::All {
                is_changed = true;
                // Daemons that hear of hosts from peers ask for them at intervals.
                is_news |= key != ObjectKey::Hosts || !self.settings.learning.relays;
                let text = format!("{key:?} version {version} is in force");
                log(out, Part::Config, text);
            }
        }
        if is_changed {
            self.superseded.take(self.state.fleet_version());
            self.rebuild_routes(now, out);
            self.rebuild_topology();
        }
        if is_news {
            self.membership.set_fleet(self.state.fleet_version());
            self.spread(now, out);
        }
    }

    /// Logs once that an older configuration than the one in force was read.
    fn note_passed_over(&mut self, version: FleetVersion, out: &mut Vec<Action>) {
        let in_force = self.state.fleet_version();
        if version == in_force || self.passed_over.replace(version) == Some(version) {
            return;
        }
        let text = format!("Fleet version {version} is passed over, {in_force} is in force");
        log(out, Part::Config, text);
    }

    /// Requests that wait and are no longer allowed end here.
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
        self.router_actions(now, actions, out);
    }

    pub(super) fn rebuild_topology(&mut self) {
        let topology = topology::build(
            &self.state,
            &self.identity.daemon,
            &self.identity.failure_domain,
            &self.settings.router,
        );
        self.router.set_topology(topology);
    }

    pub(super) fn spread(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let peers = self
            .membership
            .some_peers(now, RUMOUR_FANOUT, &mut self.rng);
        self.notify(peers, Vec::new(), out);
    }

    pub(super) fn notify(&self, peers: Vec<Address>, lost: Vec<ReplicaId>, out: &mut Vec<Action>) {
        let notice = Notice {
            lost,
            ..self.notice()
        };
        send_notice(peers, &notice, out);
    }

    /// A notice that tells versions alone.
    pub(super) fn notice(&self) -> Notice {
        Notice {
            from: self.identity.address,
            digest: self.state.digest(),
            lost: Vec::new(),
            quarantine: QuarantineReport::default(),
            limits: LimitsNotice::default(),
        }
    }
}

/// Tells all these peers the same.
pub(super) fn send_notice(peers: Vec<Address>, notice: &Notice, out: &mut Vec<Action>) {
    for to in peers {
        let notice = notice.clone();
        out.push(Action::Notify { to, notice });
    }
}
