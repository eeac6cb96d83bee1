//! How news of the platform reach the daemons that don't read it themselves.
//!
//! The watchers of a failure domain read the platform, and so does whoever holds its
//! control. The others ask each a daemon above them in a tree of bounded fan-out, which
//! follows from the weights that also choose the watchers, so that nothing is agreed. An
//! answer tells the changes since the asker's version, and how long ago the platform
//! answered whoever they come from; ages add up on the way and are never taken for less.
//!
//! A daemon that hears nothing new in time asks others at random, and then the platform
//! itself, those first that stand first in the order.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::{Daemon, WATCH_DUTY};
use crate::core::event::{Action, PullTopic};
use crate::core::feed::Feed;
use crate::core::platform::Scope;
use crate::core::types::{Address, Timestamp};

/// Daemons that ask the same one. At four hundred milliseconds an interval some 20
/// small questions a second, and two levels below two watchers reach 146 daemons.
const FANOUT: usize = 8;
/// How long a daemon asks only peers on the fleet's first start. By then it is
/// known who is there, so that few daemons read the platform; requests come later.
const FIRST_START_READ_AFTER: Duration = Duration::from_secs(1);
/// How long a daemon that starts again asks only peers. A peer that lives answers
/// by then; where all daemons start again, requests wait for each to know something.
const RESTART_READ_AFTER: Duration = Duration::from_millis(200);
/// Time between two questions of a daemon that knows nothing yet.
const START_INTERVAL: Duration = Duration::from_millis(150);
/// How much later than the one before it a daemon reads the platform itself. The
/// first few to get through tell the rest.
const FALLBACK_STEP: Duration = Duration::from_millis(30);
/// How much later at the most.
const FALLBACK_SPREAD: Duration = Duration::from_secs(2);
/// Intervals without an answer of the platform after which others are asked than the one
/// above. Readers hear of it each interval and the wait of a watch, which is some one and
/// a half, and each level of the tree adds one.
const PATIENCE_INTERVALS: u32 = 6;

impl Daemon {
    /// Asks a peer for what changed, if it is time.
    pub(super) fn pull_from_relay(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let settings = self.settings.learning;
        let is_due = settings.relays && !self.has_stopped && now >= self.next_relay_at;
        if !is_due || self.is_reading(now) && self.knows_objects() {
            return;
        }
        let (interval, topic) = if self.knows_objects() {
            (settings.relay_interval, PullTopic::Objects)
        } else {
            (START_INTERVAL, PullTopic::All)
        };
        self.next_relay_at = now + interval;
        let Some(to) = self.relay_target(now) else {
            return;
        };
        let pull = self.pull_of(now, topic);
        out.push(Action::Pull { to, pull });
    }

    /// Whether this daemon can serve with what it knows.
    fn knows_objects(&self) -> bool {
        self.state.fleet().is_some() && self.state.hosts().is_some()
    }

    fn patience(&self) -> Duration {
        self.settings.learning.relay_interval * PATIENCE_INTERVALS
    }

    /// Whether the platform answers what this daemon asks of the host list.
    fn is_reading(&self, now: Timestamp) -> bool {
        let heard_at = self.host_feed_heard_at();
        heard_at.is_some_and(|at| now.since(at) < self.patience())
    }

    /// The daemon above this one; any other, while that one has nothing new.
    fn relay_target(&mut self, now: Timestamp) -> Option<Address> {
        let heard_at = self.host_list_heard_at();
        let is_fresh = heard_at.is_some_and(|at| now.since(at) < self.patience());
        let above = is_fresh.then(|| self.daemon_above(now)).flatten();
        if above.is_some() {
            return above;
        }
        let watchers = self.settings.learning.watchers;
        let domain = &self.identity.failure_domain;
        let mut targets = self
            .membership
            .responsible_addresses(now, domain, WATCH_DUTY, watchers);
        targets.extend(self.membership.random_peer(now, &mut self.rng));
        targets.choose(&mut self.rng).copied()
    }

    /// The daemon above this one in the tree; none above a watcher.
    fn daemon_above(&self, now: Timestamp) -> Option<Address> {
        let ranked = self.membership.ranked_members(now, WATCH_DUTY);
        let me = &self.identity.daemon;
        let rank = ranked.iter().position(|daemon| *daemon == me)?;
        let below_watchers = rank.checked_sub(self.settings.learning.watchers)?;
        let above = ranked.get(below_watchers / FANOUT)?;
        self.membership.address_of(now, above)
    }

    /// Whether this daemon reads the host list from the platform.
    pub(super) fn reads_hosts(&self, now: Timestamp) -> bool {
        if !self.settings.learning.relays || self.was_holder {
            return true;
        }
        if !self.may_read(now) {
            return false;
        }
        self.is_watcher(now) || self.is_cut_off_from_news(now)
    }

    /// Whether peers had their time to tell what they know to a daemon that just started.
    pub(super) fn may_read(&self, now: Timestamp) -> bool {
        let read_after = if self.identity.is_first_start {
            FIRST_START_READ_AFTER
        } else {
            RESTART_READ_AFTER
        };
        let is_new = now.as_duration() < read_after;
        !self.settings.learning.relays || !is_new || !self.membership.has_seeds()
    }

    /// Whether peers told nothing new of the host list for so long that this daemon reads
    /// it itself.
    fn is_cut_off_from_news(&self, now: Timestamp) -> bool {
        let heard_at = self.hosts_told_at.unwrap_or(Timestamp::ZERO);
        let silent_for = now.since(heard_at);
        // Asked each tick, and nearly always settled here: the ranks cost more.
        if silent_for < self.patience() {
            return false;
        }
        let ranked = self.membership.ranked_members(now, WATCH_DUTY);
        let me = &self.identity.daemon;
        let rank = ranked.iter().position(|daemon| *daemon == me).unwrap_or(0) as u32;
        let step = (FALLBACK_STEP * rank).min(FALLBACK_SPREAD);
        silent_for >= self.patience() + step
    }

    /// When the platform last answered whoever the host list in force comes from.
    pub fn host_list_heard_at(&self) -> Option<Timestamp> {
        self.host_feed_heard_at().max(self.hosts_told_at)
    }

    /// When the platform last answered this daemon itself about hosts.
    fn host_feed_heard_at(&self) -> Option<Timestamp> {
        let feed = self.feeds.iter().find(|feed| feed.scope() == Scope::Hosts);
        feed.and_then(Feed::last_answer_at)
    }

    /// Where the platform no longer answers this daemon, but others, what they tell counts.
    /// The feed goes on asking, and lists anew once it is answered.
    pub(super) fn prefer_news_of_peers(&mut self, now: Timestamp, index: usize) {
        let heard_at = self.feeds[index].last_answer_at();
        if !self.is_reading(now) && self.hosts_told_at > heard_at {
            self.state.discard_unroutable_hosts();
        }
    }

    /// Stops reading the host list: peers tell what routing needs of it.
    pub(super) fn stop_reading_hosts(&mut self, index: usize) {
        let is_idle = !self.feeds[index].is_active();
        if is_idle && self.state.full_hosts().is_none() {
            return;
        }
        self.drop_calls_of_feed(index);
        self.feeds[index].reset();
        self.state.discard_unroutable_hosts();
    }
}
