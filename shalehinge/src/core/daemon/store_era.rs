//! Which era of the platform's store an answer is of, and what a new era ends.
//!
//! A store that is restored from a copy has lost its last writes and gives out their versions anew.
//! So an answer of an earlier era is taken for none, and one that rests on versions of an earlier
//! era than its own proves nothing of what came between.

use std::time::Duration;

use super::{Daemon, Purpose, log};
use crate::core::event::{Action, Part};
use crate::core::platform::{NoAnswer, PlatformReply, PlatformResult};
use crate::core::types::{StoreEra, Timestamp, Version};

/// Heartbeats in which hosts write their entries again, or those of hosts that are gone lapse.
const REWRITE_HEARTBEATS: u32 = 4;
/// A host list that was last true longer ago is no newer than the copy of a store, which is some
/// seconds old.
const LIST_OUTLASTS_COPY: Duration = Duration::from_secs(10);

/// A call to the platform that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct OpenCall {
    pub(super) purpose: Purpose,
    /// The era of the versions that the call names, if it names any.
    pub(super) rests_on: Option<StoreEra>,
}

/// The era of the store that a daemon knows.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraState {
    era: Option<StoreEra>,
    /// An answer of an earlier era came since the last change.
    has_passed_over: bool,
    /// Until when what an earlier era reported of hosts counts.
    hosts_until: Option<Timestamp>,
    /// It changed since this daemon started.
    has_changed: bool,
}

impl Daemon {
    /// The era of the platform's store, once it or a peer reported it.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.era.era
    }

    /// What an answer is worth in the era that is known.
    pub(super) fn place_in_era(
        &mut self,
        now: Timestamp,
        rests_on: Option<StoreEra>,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) -> PlatformResult {
        let reply = result?;
        let era = reply.era();
        if Some(era) < self.era.era {
            self.note_passed_over_era(era, out);
            return Err(NoAnswer);
        }
        let revision = match &reply {
            PlatformReply::Objects { revision, .. } => Some(*revision),
            _ => None,
        };
        self.note_era(now, era, revision, out);
        if rests_on.is_none_or(|asked| asked == era) {
            return Ok(reply);
        }
        match reply {
            // What changed between the copy and that revision may be missing.
            PlatformReply::Objects { .. } => Ok(PlatformReply::HistoryGone(era)),
            // The condition may have held for another value under the same number.
            PlatformReply::Written(_) => Err(NoAnswer),
            reply => Ok(reply),
        }
    }

    /// Whether nothing was ever written that an earlier era of the store could have lost.
    pub(super) fn is_in_first_era(&self) -> bool {
        self.identity.is_first_start && !self.era.has_changed
    }

    fn note_passed_over_era(&mut self, era: StoreEra, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.era.has_passed_over, true) {
            return;
        }
        let known = self.era.era.unwrap_or_default();
        let text = format!("an answer of era {era} is passed over, the platform is in era {known}");
        log(out, Part::Platform, text);
    }

    /// The platform, or a peer, tells the era of the store, and perhaps how far that came.
    pub(super) fn note_era(
        &mut self,
        now: Timestamp,
        era: StoreEra,
        revision: Option<Version>,
        out: &mut Vec<Action>,
    ) {
        if self.era.era.is_some_and(|known| era <= known) {
            return;
        }
        let from = self.era.era.replace(era);
        let was_holder = self.lease.held(now).is_some();
        self.lease.note_era(now, era, self.identity.is_first_start);
        let Some(from) = from.filter(|from| *from != StoreEra::UNREPORTED) else {
            return;
        };
        self.era.has_passed_over = false;
        self.era.has_changed = true;
        self.claims.on_new_era(now);
        for feed in &mut self.feeds {
            feed.begin_era(now);
        }
        let before = self.confirmation.map(|known| known.revision.number);
        let text = format!(
            "restored from a copy: era {from} to {era}, revision {} to {}; lists anew{}",
            before.map_or("unknown".into(), |number| number.to_string()),
            revision.map_or("unknown".into(), |version| version.number.to_string()),
            if was_holder {
                ", stops holding its failure domain"
            } else {
                ""
            },
        );
        log(out, Part::Platform, text);
        self.note_holder(now, out);
    }

    /// What an earlier era reported of hosts counts for a while, unless it was old already.
    pub(super) fn note_earlier_hosts(&mut self, now: Timestamp, heard_at: Option<Timestamp>) {
        if !self.state.has_earlier_hosts() {
            return;
        }
        let is_recent = heard_at.is_some_and(|at| now.since(at) < LIST_OUTLASTS_COPY);
        if !is_recent {
            self.state.discard_earlier_hosts();
            return;
        }
        let heartbeat = self.settings.control.host_heartbeat;
        self.era.hosts_until = Some(now + heartbeat * REWRITE_HEARTBEATS);
    }

    pub(super) fn tick_earlier_hosts(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self.era.hosts_until.is_none_or(|until| now < until) {
            return;
        }
        self.era.hosts_until = None;
        self.state.discard_earlier_hosts();
        self.rebuild_topology();
        let text = "hosts are as the platform lists them now".to_owned();
        log(out, Part::Platform, text);
    }
}
