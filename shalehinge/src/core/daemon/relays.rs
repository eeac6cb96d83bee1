//! Distributes the platform's host list to daemons that don't read it themselves.
//!
//! The watchers of a failure domain and its lease holder read the platform. Every other daemon
//! pulls from its parent in a tree of bounded fan-out. The tree follows from the same rendezvous
//! weights that select the watchers, so it needs no agreement. A reply carries the changes since
//! the requester's version, and how long ago the platform answered the daemon that they come from.
//! Ages accumulate along the path and are never underestimated.
//!
//! A daemon that receives no fresh host list in time pulls from random peers, and then reads the
//! platform itself. Fallback reads are staggered by the daemons' rank.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::{Daemon, WATCH_DUTY};
use crate::core::event::{Action, PullTopic};
use crate::core::feed::Feed;
use crate::core::platform::Scope;
use crate::core::types::{Address, Timestamp};

/// Number of daemons that pull from the same parent. At one pull per 400 ms each, a parent answers
/// some 20 small pulls a second, and two levels below two watchers cover 146 daemons.
const RELAY_FANOUT: usize = 8;
/// How long a daemon reads only from peers when the fleet starts for the first time. By then the
/// membership is known, so that few daemons read the platform; requests arrive later.
const FIRST_START_READ_AFTER: Duration = Duration::from_secs(1);
/// How long a restarted daemon reads only from peers. A live peer answers within this time. It is
/// short because requests wait meanwhile if all daemons restart together.
const RESTART_READ_AFTER: Duration = Duration::from_millis(200);
/// Interval between two pulls of a daemon that doesn't know the objects it needs to serve.
const START_PULL_INTERVAL: Duration = Duration::from_millis(150);
/// Additional delay per rank before a daemon reads the platform as a fallback. The first few
/// daemons that succeed pass the host list on to the others.
const FALLBACK_DELAY_PER_RANK: Duration = Duration::from_millis(30);
/// Upper bound of the delay by rank.
const MAX_FALLBACK_DELAY: Duration = Duration::from_secs(2);
/// Age of the host list, in relay intervals, beyond which a daemon no longer relies on its parent.
/// A reader gets an answer of the platform once per interval plus the wait of a watch, which is
/// about one and a half intervals, and each level of the tree adds one interval.
const RELAY_TIMEOUT_INTERVALS: u32 = 6;

impl Daemon {
    /// Pulls changes from a peer if a pull is due.
    pub(super) fn pull_from_relay(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let settings = self.settings.learning;
        let is_due = settings.relays && !self.has_stopped && now >= self.next_relay_pull_at;
        if !is_due || self.is_own_host_feed_fresh(now) && self.has_required_objects() {
            return;
        }
        let (interval, topic) = if self.has_required_objects() {
            (settings.relay_interval, PullTopic::Objects)
        } else {
            (START_PULL_INTERVAL, PullTopic::All)
        };
        self.next_relay_pull_at = now + interval;
        let Some(to) = self.relay_target(now) else {
            return;
        };
        let pull = self.pull_for_topic(now, topic);
        out.push(Action::Pull { to, pull });
    }

    /// Whether this daemon knows the objects that it needs to serve: a configuration, a host list
    /// and, where the platform lists them, the evacuations.
    fn has_required_objects(&self) -> bool {
        let needs_evacuations = self.settings.learning.evacuations;
        let knows_evacuations = !needs_evacuations || self.state.knows_evacuations();
        self.state.fleet().is_some() && self.state.hosts().is_some() && knows_evacuations
    }

    fn relay_timeout(&self) -> Duration {
        self.settings.learning.relay_interval * RELAY_TIMEOUT_INTERVALS
    }

    /// Whether the platform has recently answered this daemon's own host feed.
    fn is_own_host_feed_fresh(&self, now: Timestamp) -> bool {
        let answered_at = self.own_host_feed_answered_at();
        answered_at.is_some_and(|at| now.since(at) < self.relay_timeout())
    }

    /// The peer to pull from: the parent in the tree while the host list is fresh, else a random
    /// choice among the watchers and another peer.
    fn relay_target(&mut self, now: Timestamp) -> Option<Address> {
        let answered_at = self.host_list_answered_at();
        let is_fresh = answered_at.is_some_and(|at| now.since(at) < self.relay_timeout());
        let parent = is_fresh.then(|| self.relay_parent(now)).flatten();
        if parent.is_some() {
            return parent;
        }
        let watchers = self.settings.learning.watchers;
        let domain = &self.identity.failure_domain;
        let mut targets = self
            .membership
            .responsible_addresses(now, domain, WATCH_DUTY, watchers);
        targets.extend(self.membership.random_peer(now, &mut self.rng));
        targets.choose(&mut self.rng).copied()
    }

    /// The parent of this daemon in the tree, or `None` for a watcher.
    fn relay_parent(&self, now: Timestamp) -> Option<Address> {
        let ranked = self.membership.ranked_members(now, WATCH_DUTY);
        let me = &self.identity.daemon;
        let rank = ranked.iter().position(|daemon| *daemon == me)?;
        let rank_below_watchers = rank.checked_sub(self.settings.learning.watchers)?;
        let parent = ranked.get(rank_below_watchers / RELAY_FANOUT)?;
        self.membership.address_of(now, parent)
    }

    /// Whether this daemon should read the host list from the platform.
    pub(super) fn should_read_hosts(&self, now: Timestamp) -> bool {
        if !self.settings.learning.relays || self.is_lease_holder {
            return true;
        }
        if !self.may_read(now) {
            return false;
        }
        self.is_watcher(now) || self.has_relay_timed_out(now)
    }

    /// Whether this daemon may read the platform: after a start, peers get some time to answer
    /// first, unless there are no seeds to ask.
    pub(super) fn may_read(&self, now: Timestamp) -> bool {
        let read_after = if self.identity.is_first_start {
            FIRST_START_READ_AFTER
        } else {
            RESTART_READ_AFTER
        };
        let is_new = now.as_duration() < read_after;
        !self.settings.learning.relays || !is_new || !self.membership.has_seeds()
    }

    /// Whether peers have provided no fresh host list for so long that this daemon must read it
    /// from the platform.
    fn has_relay_timed_out(&self, now: Timestamp) -> bool {
        let answered_at = self.peer_hosts_answered_at.unwrap_or(Timestamp::ZERO);
        let age = now.since(answered_at);
        // Checked on every tick and nearly always decided here, before the costlier ranking.
        if age < self.relay_timeout() {
            return false;
        }
        let ranked = self.membership.ranked_members(now, WATCH_DUTY);
        let me = &self.identity.daemon;
        let rank = ranked.iter().position(|daemon| *daemon == me).unwrap_or(0) as u32;
        let delay = (FALLBACK_DELAY_PER_RANK * rank).min(MAX_FALLBACK_DELAY);
        age >= self.relay_timeout() + delay
    }

    /// When the platform last answered the daemon that the host list in force comes from.
    pub fn host_list_answered_at(&self) -> Option<Timestamp> {
        self.own_host_feed_answered_at()
            .max(self.peer_hosts_answered_at)
    }

    /// When the platform last answered this daemon's own host feed.
    fn own_host_feed_answered_at(&self) -> Option<Timestamp> {
        let feed = self.feeds.iter().find(|feed| feed.scope() == Scope::Hosts);
        feed.and_then(Feed::last_answer_at)
    }

    /// Switches to the host list of peers if the platform answers them but no longer this daemon.
    /// The feed keeps calling, and lists again once it is answered.
    pub(super) fn prefer_peer_host_list(&mut self, now: Timestamp, index: usize) {
        let answered_at = self.feeds[index].last_answer_at();
        if !self.is_own_host_feed_fresh(now) && self.peer_hosts_answered_at > answered_at {
            self.state.discard_unroutable_hosts();
        }
    }

    /// Stops reading the host list from the platform; peers provide the part that routing needs.
    pub(super) fn stop_reading_hosts(&mut self, index: usize) {
        let is_idle = !self.feeds[index].is_active();
        if is_idle && self.state.full_hosts().is_none() {
            return;
        }
        self.forget_feed_calls(index);
        self.feeds[index].reset();
        self.state.discard_unroutable_hosts();
    }
}
