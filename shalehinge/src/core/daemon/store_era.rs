//! Tracks the era of the platform's store: which replies are valid in it, and what a new era
//! resets.
//!
//! A store restored from a backup has lost its last writes and assigns their versions again. A
//! reply of an earlier era is therefore treated as no reply, and a reply to a call that names
//! versions of an earlier era proves nothing about the writes between the two.

use std::collections::BTreeSet;
use std::time::Duration;

use super::era_objects::ObjectRead;
use super::{CallPurpose, Daemon, log};
use crate::core::event::{Action, Component};
use crate::core::platform::{NoAnswer, PlatformReply, PlatformResult};
use crate::core::types::{FailureDomain, StoreEra, Timestamp, Version};

/// Host heartbeats after which hosts known only from an earlier era are dropped: by then each live
/// host has rewritten its entry.
const EARLIER_HOSTS_HEARTBEATS: u32 = 4;
/// Maximum age of a host list of an earlier era that is kept after a restore. The backup that a
/// store is restored from is some seconds old, so an older list is no newer than the backup.
const EARLIER_LIST_MAX_AGE: Duration = Duration::from_secs(10);

/// How long an evacuation that the store lost stays in force, unless the store lists it again.
const KEEP_LOST_EVACUATIONS: Duration = Duration::from_secs(600);

/// A platform call that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct OpenCall {
    /// What the call was made for.
    pub(super) purpose: CallPurpose,
    /// The era of the versions or the object named in the call, if it names any.
    pub(super) named_era: Option<StoreEra>,
    /// The read of an object of an era, if the call is one.
    pub(super) read: Option<ObjectRead>,
}

/// What a daemon knows of the store's era.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraState {
    /// The newest era reported by the platform or a peer.
    current: Option<StoreEra>,
    /// Whether a reply of an earlier era was ignored, and logged, since the last change of era.
    has_logged_ignored_reply: bool,
    /// When hosts known only from an earlier era are dropped.
    earlier_hosts_until: Option<Timestamp>,
    /// When evacuations that the store lost are given up.
    lost_evacuations_until: Option<Timestamp>,
    /// Whether the era has changed since this daemon started.
    has_changed: bool,
}

impl Daemon {
    /// The era of the platform's store, once the platform or a peer has reported it.
    pub fn store_era(&self) -> Option<StoreEra> {
        self.era_state.current
    }

    /// Number of exact answers whose revision was lower than one known before the call, in the same
    /// era: the store has lost writes without a new era.
    pub fn lower_revisions(&self) -> u64 {
        self.lower_revisions
    }

    /// Converts a reply according to its era: a reply of an earlier era counts as none, and a
    /// reply across eras proves only what does not depend on the versions named in the call.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if there was no reply, or if the reply proves nothing in the known era.
    pub(super) fn check_reply_era(
        &mut self,
        now: Timestamp,
        named_era: Option<StoreEra>,
        result: PlatformResult,
        out: &mut Vec<Action>,
    ) -> PlatformResult {
        let reply = result?;
        let era = reply.era();
        if Some(era) < self.era_state.current {
            self.log_ignored_era(era, out);
            return Err(NoAnswer);
        }
        let revision = match &reply {
            PlatformReply::Objects { revision, .. } => Some(*revision),
            _ => None,
        };
        self.record_era(now, era, revision, out);
        if named_era.is_none_or(|asked| asked == era) {
            return Ok(reply);
        }
        match reply {
            // Changes between the backup and the call's revision may be missing.
            PlatformReply::Objects { .. } => Ok(PlatformReply::HistoryGone(era)),
            // The write's condition may have matched a different value with the same number.
            PlatformReply::Written(_) => Err(NoAnswer),
            // The object of an earlier era says nothing about the one of this era.
            PlatformReply::Object(_) | PlatformReply::Missing(_) | PlatformReply::Foreign(_) => {
                Err(NoAnswer)
            }
            reply => Ok(reply),
        }
    }

    /// Whether the store cannot have lost a write: the fleet starts for the first time and no era
    /// has ended since.
    pub(super) fn is_in_first_era(&self) -> bool {
        self.identity.is_first_start && !self.era_state.has_changed
    }

    fn log_ignored_era(&mut self, era: StoreEra, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.era_state.has_logged_ignored_reply, true) {
            return;
        }
        let known = self.era_state.current.unwrap_or_default();
        let text = format!("ignored a reply of era {era}: the platform is in era {known}");
        log(out, Component::Platform, text);
    }

    /// Records the store's era as reported by the platform, with the revision reached in it, or by
    /// a peer. A new era ends the lease, makes all feeds list again, and has claims written again.
    pub(super) fn record_era(
        &mut self,
        now: Timestamp,
        era: StoreEra,
        revision: Option<Version>,
        out: &mut Vec<Action>,
    ) {
        if self.era_state.current.is_some_and(|known| era <= known) {
            return;
        }
        let from = self.era_state.current.replace(era);
        let was_lease_holder = self.lease.held(now).is_some();
        self.lease.note_era(now, era, self.identity.is_first_start);
        if from == Some(StoreEra::UNREPORTED) && self.settings.learning.era_objects {
            self.lease.begin_era(now);
        }
        let Some(from) = from.filter(|from| *from != StoreEra::UNREPORTED) else {
            return;
        };
        self.era_state.has_logged_ignored_reply = false;
        self.era_state.has_changed = true;
        self.claims.on_new_era(now);
        self.begin_era_of_objects(now, era);
        for feed in &mut self.feeds {
            feed.begin_era(now);
        }
        let previous_revision = self.confirmation.map(|known| known.revision.number);
        let text = format!(
            "restored from a backup: era {from} to {era}, revision {} to {}; listing again{}",
            previous_revision.map_or("unknown".into(), |number| number.to_string()),
            revision.map_or("unknown".into(), |version| version.number.to_string()),
            if was_lease_holder {
                ", control of the failure domain given up"
            } else {
                ""
            },
        );
        log(out, Component::Platform, text);
        self.update_lease_holder(now, out);
    }

    /// Keeps hosts known from an earlier era for some heartbeats, unless the earlier host list was
    /// already too old.
    pub(super) fn keep_earlier_hosts(&mut self, now: Timestamp, answered_at: Option<Timestamp>) {
        if !self.state.has_earlier_hosts() {
            return;
        }
        let is_recent = answered_at.is_some_and(|at| now.since(at) < EARLIER_LIST_MAX_AGE);
        if !is_recent {
            self.state.discard_earlier_hosts();
            return;
        }
        let heartbeat = self.settings.control.host_heartbeat;
        self.era_state.earlier_hosts_until = Some(now + heartbeat * EARLIER_HOSTS_HEARTBEATS);
    }

    pub(super) fn expire_earlier_hosts(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        if self
            .era_state
            .earlier_hosts_until
            .is_none_or(|until| now < until)
        {
            return;
        }
        self.era_state.earlier_hosts_until = None;
        self.state.discard_earlier_hosts();
        self.rebuild_topology(now);
        let text = "dropped hosts of the earlier era; the platform's host list applies".to_owned();
        log(out, Component::Platform, text);
    }

    /// Keeps evacuations that were found to be lost since `before` in force for some time, in which
    /// operators can write them again.
    pub(super) fn keep_lost_evacuations(
        &mut self,
        now: Timestamp,
        before: &BTreeSet<FailureDomain>,
        out: &mut Vec<Action>,
    ) {
        for domain in self.state.lost_evacuations().difference(before) {
            let seconds = KEEP_LOST_EVACUATIONS.as_secs();
            let text = format!(
                "no longer lists the evacuation of {domain}, which stays in force for {seconds} s: write it again to keep it, write and remove it to end it"
            );
            log(out, Component::Platform, text);
            self.era_state.lost_evacuations_until = Some(now + KEEP_LOST_EVACUATIONS);
        }
    }

    pub(super) fn expire_lost_evacuations(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let until = &mut self.era_state.lost_evacuations_until;
        if until.take_if(|until| now >= *until).is_none() {
            return;
        }
        let evacuated: BTreeSet<FailureDomain> =
            self.state.evacuated().into_iter().cloned().collect();
        self.state.give_up_lost_evacuations();
        self.rebuild_topology(now);
        self.on_evacuations_changed(now, &evacuated, out);
    }
}
