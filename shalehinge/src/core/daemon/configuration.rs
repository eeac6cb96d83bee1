//! Which objects are in force: listed, watched, spread.

use rand::Rng;

use super::{Daemon, Purpose, RUMOUR_FANOUT, WATCH_PAUSE, WATCHERS, log};
use crate::core::event::{Action, Notice, Part};
use crate::core::fleet_state::ObjectUpdate;
use crate::core::platform::{PlatformCall, PlatformReply, PlatformResult};
use crate::core::router::topology;
use crate::core::types::Timestamp;

impl Daemon {
    /// Reads all objects once, then watches if it is this daemon's turn.
    pub(super) fn learn(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.is_watching || now < self.next_watch_at || self.is_stopping {
            return;
        }
        if !self.has_listed {
            self.is_watching = true;
            self.call(Purpose::Start, PlatformCall::List, out);
            return;
        }
        if self.membership.is_responsible(now, "watch", WATCHERS) {
            self.is_watching = true;
            let after = self.revision;
            self.call(Purpose::Watch, PlatformCall::Watch { after }, out);
        }
    }

    pub(super) fn on_listed(&mut self, now: Timestamp, result: PlatformResult) {
        self.is_watching = false;
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => {
                self.has_listed = true;
                self.revision = revision;
            }
            _ => self.pause_watch(now),
        }
    }

    pub(super) fn on_watched(&mut self, now: Timestamp, result: PlatformResult) {
        self.is_watching = false;
        match result {
            Ok(PlatformReply::Objects { revision, .. }) => self.revision = revision,
            _ => self.pause_watch(now),
        }
    }

    pub(super) fn pause_watch(&mut self, now: Timestamp) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.next_watch_at = now + WATCH_PAUSE.mul_f64(1.0 + jitter);
    }

    /// Takes in objects that are newer, and tells peers of them.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        updates: Vec<ObjectUpdate>,
        out: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for update in updates {
            let (key, version) = (update.key.clone(), update.version);
            if self.state.apply(update) {
                changed = true;
                let text = format!("{key:?} version {} is in force", version.0);
                log(out, Part::Config, text);
            }
        }
        if changed {
            let fleet = self.state.digest().fleet;
            self.membership.set_fleet(fleet);
            self.rebuild_topology();
            self.spread(now, out);
        }
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
        let notice = Notice {
            from: self.identity.address,
            digest: self.state.digest(),
        };
        for to in peers {
            let notice = notice.clone();
            out.push(Action::Notify { to, notice });
        }
    }
}
