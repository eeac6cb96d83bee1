//! Detection of an owner that stopped answering, by the daemon next in line for its duty.
//!
//! The membership declares a daemon dead only after its heartbeat has been missing for several
//! rounds of gossip. An owner whose answers are awaited is probed directly instead. The watch
//! keeps only what it needs to time the probes; the caller sends them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::types::{Address, Timestamp};

/// How long probes stay unanswered until their target counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// A watch without probes for this time starts over, as the owner may have returned meanwhile.
const WATCH_EXPIRY: Duration = Duration::from_secs(3);

/// Probes since an owner was last heard from.
#[derive(Clone, Copy, Debug)]
struct UnansweredProbes {
    first_at: Timestamp,
    last_at: Timestamp,
}

/// What an owner's silence means, and whether to probe it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchStep {
    /// Whether the watch has just started, so that nothing is known yet.
    pub is_new: bool,
    /// Whether a probe is to be sent now.
    pub is_probe_due: bool,
    /// When the owner was first probed in vain, if it counts as unreachable.
    pub unreachable_since: Option<Timestamp>,
}

/// The owners that this daemon watches.
#[derive(Clone, Debug, Default)]
pub struct OwnerWatch {
    unanswered: BTreeMap<Address, UnansweredProbes>,
}

impl OwnerWatch {
    /// Watches an owner whose answer another daemon misses. A probe that is due is recorded as
    /// sent.
    pub fn watch(&mut self, now: Timestamp, owner: Address) -> WatchStep {
        self.unanswered
            .retain(|_, probes| now.since(probes.last_at) < WATCH_EXPIRY);
        let Some(probes) = self.unanswered.get_mut(&owner) else {
            let probes = UnansweredProbes {
                first_at: now,
                last_at: now,
            };
            self.unanswered.insert(owner, probes);
            return WatchStep {
                is_new: true,
                is_probe_due: true,
                unreachable_since: None,
            };
        };
        let is_probe_due = now.since(probes.last_at) >= PROBE_INTERVAL;
        if is_probe_due {
            probes.last_at = now;
        }
        let is_unreachable = now.since(probes.first_at) >= PROBE_TIMEOUT;
        WatchStep {
            is_new: false,
            is_probe_due,
            unreachable_since: is_unreachable.then_some(probes.first_at),
        }
    }

    /// Records a message from a peer. Returns whether the peer was watched.
    pub fn on_heard(&mut self, peer: Address) -> bool {
        self.unanswered.remove(&peer).is_some()
    }
}
