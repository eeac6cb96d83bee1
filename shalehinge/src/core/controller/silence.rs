//! How long hosts have answered nothing, and when that proves a loss.
//!
//! A host that is paused for a moment answers nothing and then goes on, so silence alone proves a
//! loss only after `silence_confirm`. Until then its group is suspected: routers are notified, and
//! nothing is dissolved. A refused connection proves more, because the kernel of a paused process
//! still accepts connections: two in a row show that the process has ended.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Controller, ControllerAction, GroupHealth};
use crate::core::engine::NoStatus;
use crate::core::types::{HostId, Timestamp};

/// Number of consecutive refused connections that prove that a process has ended.
const ENDED_BY_REFUSALS: u32 = 2;
/// Longest time between two missing answers of one silence. After a longer gap, in which this
/// daemon was paused or did not ask, the silence begins anew.
const MAX_GAP: Duration = Duration::from_secs(1);
/// Interval between notices that a group is silent. Routers let a notice expire after a second.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a group counts as silent after the latest evidence.
const EVIDENCE_LIFETIME: Duration = Duration::from_millis(600);

/// A host that answers nothing.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the first unanswered probe was sent.
    since: Timestamp,
    /// When the latest probe ended unanswered.
    last_at: Timestamp,
    /// Number of consecutive probes whose connection was refused.
    refusals: u32,
}

/// The hosts that answer nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct Silences {
    hosts: BTreeMap<HostId, Silence>,
}

impl Silences {
    /// Records that a probe, sent at `asked_at`, was not answered.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        host: &HostId,
        cause: NoStatus,
    ) {
        self.hosts
            .retain(|_, silence| now.since(silence.last_at) <= MAX_GAP);
        let silence = self.hosts.entry(host.clone()).or_insert(Silence {
            since: asked_at,
            last_at: now,
            refusals: 0,
        });
        silence.last_at = now;
        silence.refusals = match cause {
            NoStatus::Refused => silence.refusals + 1,
            NoStatus::Unanswered => 0,
        };
    }

    /// Records that a host answered.
    pub(super) fn end(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// Whether the host currently answers nothing.
    pub(super) fn contains(&self, now: Timestamp, host: &HostId) -> bool {
        let silence = self.hosts.get(host);
        silence.is_some_and(|silence| now.since(silence.last_at) <= MAX_GAP)
    }

    /// How long the host has answered nothing, counted from `from` at the earliest.
    pub(super) fn length(
        &self,
        now: Timestamp,
        host: &HostId,
        from: Option<Timestamp>,
    ) -> Duration {
        let silence = self.hosts.get(host);
        silence.map_or(Duration::ZERO, |silence| {
            now.since(Some(silence.since).max(from).unwrap_or(now))
        })
    }

    /// Whether refused connections show that the process of the host has ended.
    pub(super) fn has_ended(&self, host: &HostId) -> bool {
        let silence = self.hosts.get(host);
        silence.is_some_and(|silence| silence.refusals >= ENDED_BY_REFUSALS)
    }
}

impl GroupHealth {
    /// Whether recent evidence shows that a member is silent or missing.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        self.silent_at
            .is_some_and(|at| now.since(at) < EVIDENCE_LIFETIME)
    }

    /// Ends the suspicion: all members answer, or the group produced output since.
    pub(super) fn clear_silence(&mut self) {
        self.incomplete_since = None;
        self.silent_member = None;
        self.silent_at = None;
    }

    fn is_notice_due(&self, now: Timestamp) -> bool {
        self.silence_notified_at
            .is_none_or(|at| now.since(at) >= NOTICE_INTERVAL)
    }
}

impl Controller {
    /// Notifications for groups that are silent and not known to be lost.
    pub(super) fn notify_silent(&mut self, now: Timestamp) -> Vec<ControllerAction> {
        let silent = self
            .health
            .iter_mut()
            .filter(|(_, health)| !health.is_lost && health.is_silent(now))
            .filter(|(_, health)| health.is_notice_due(now));
        let notices: Vec<ControllerAction> = silent
            .map(|(number, health)| {
                health.silence_notified_at = Some(now);
                ControllerAction::NotifySilent(*number)
            })
            .collect();
        self.asks_recent_output |= !notices.is_empty();
        notices
    }

    /// Time for which silence alone must last to prove a loss.
    pub(super) fn silence_confirm(&self) -> Duration {
        self.settings
            .silence_confirm
            .max(self.settings.loss_confirm)
    }
}
