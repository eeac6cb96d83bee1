//! Whether this daemon can connect to the upstreams of a target.
//!
//! If connections to several upstreams of a target fail and none has succeeded since, the fault is
//! most likely between this daemon and the upstreams: the target is cut off. Its requests then go
//! to peers, and probes, not requests, find out when upstreams can be reached again. After that,
//! the daemon sends requests itself in a growing proportion, so that daemons that were cut off
//! together don't all return at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::types::Timestamp;

use super::request::{Target, UpstreamId};

/// Number of upstreams of a target that must fail before the target is cut off, unless it has
/// fewer.
const MIN_FAILED_UPSTREAMS: usize = 2;
/// How long a failure counts.
const FAILURE_LIFETIME: Duration = Duration::from_secs(5);
/// Shortest time between two probes of a cut-off target. Random jitter of up to the same length is
/// added.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Number of probes in a row that must succeed before requests are sent again.
const MIN_SUCCESSFUL_PROBES: u32 = 2;
/// Time from the first request that is sent again until all are.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Proportion of requests that are sent at the start of that time.
const MIN_DIRECT_SHARE: f64 = 0.1;

/// Whether a daemon can connect to the upstreams of one target.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// It can, as far as is known.
    Connected,
    /// It can't.
    CutOff {
        since: Timestamp,
        next_probe_at: Timestamp,
        successful_probes: u32,
    },
    /// It can again.
    Returning { since: Timestamp },
}

/// Connectivity to the upstreams of one target.
#[derive(Clone, Debug)]
struct TargetConnectivity {
    state: State,
    /// When the last attempt that an upstream responded to was begun.
    last_contact_at: Timestamp,
    /// Upstreams that could not be connected to, and when the failed attempts were begun, since the
    /// last contact.
    failed: BTreeMap<UpstreamId, Timestamp>,
}

impl Default for TargetConnectivity {
    fn default() -> Self {
        Self {
            state: State::Connected,
            last_contact_at: Timestamp::ZERO,
            failed: BTreeMap::new(),
        }
    }
}

/// What a contact or a probe changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectivityChange {
    /// Nothing.
    None,
    /// The target is cut off from now on.
    CutOff,
    /// Upstreams of the target can be reached again.
    Returned,
}

/// Connectivity of this daemon to the upstreams of all targets.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    targets: BTreeMap<Target, TargetConnectivity>,
    /// When the last attempt that an upstream responded to was begun.
    last_contact_at: Timestamp,
}

impl Connectivity {
    /// Records that an upstream could not be connected to by an attempt that was begun at
    /// `begun_at`. `present` is the number of upstreams of the target.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        target: &Target,
        upstream: &UpstreamId,
        begun_at: Timestamp,
        present: usize,
    ) -> ConnectivityChange {
        let known = self.targets.entry(target.clone()).or_default();
        if begun_at < known.last_contact_at {
            return ConnectivityChange::None;
        }
        known
            .failed
            .retain(|_, failed_at| now.since(*failed_at) < FAILURE_LIFETIME);
        known.failed.insert(upstream.clone(), begun_at);
        let is_cut_off = matches!(known.state, State::CutOff { .. });
        let needed = MIN_FAILED_UPSTREAMS.min(present.max(1));
        if is_cut_off || known.failed.len() < needed {
            return ConnectivityChange::None;
        }
        known.state = State::CutOff {
            since: now,
            next_probe_at: now,
            successful_probes: 0,
        };
        ConnectivityChange::CutOff
    }

    /// Records a response to an attempt that was begun at `begun_at`. An attempt that was begun
    /// before connections failed shows nothing: open connections may outlive a cut.
    pub fn record_contact(
        &mut self,
        now: Timestamp,
        target: &Target,
        begun_at: Timestamp,
    ) -> ConnectivityChange {
        self.last_contact_at = self.last_contact_at.max(begun_at);
        let known = self.targets.entry(target.clone()).or_default();
        known.last_contact_at = known.last_contact_at.max(begun_at);
        known.failed.retain(|_, failed_at| *failed_at > begun_at);
        if !known.failed.is_empty() || !matches!(known.state, State::CutOff { .. }) {
            return ConnectivityChange::None;
        }
        known.state = State::Returning { since: now };
        ConnectivityChange::Returned
    }

    /// Records whether a probe could connect to an upstream of the target.
    pub fn record_probe(
        &mut self,
        now: Timestamp,
        target: &Target,
        is_reachable: bool,
    ) -> ConnectivityChange {
        let Some(known) = self.targets.get_mut(target) else {
            return ConnectivityChange::None;
        };
        let State::CutOff {
            successful_probes, ..
        } = &mut known.state
        else {
            return ConnectivityChange::None;
        };
        if !is_reachable {
            *successful_probes = 0;
            return ConnectivityChange::None;
        }
        *successful_probes += 1;
        if *successful_probes < MIN_SUCCESSFUL_PROBES {
            return ConnectivityChange::None;
        }
        known.failed.clear();
        known.state = State::Returning { since: now };
        self.last_contact_at = self.last_contact_at.max(now);
        ConnectivityChange::Returned
    }

    /// The cut-off targets of which an upstream is to be probed now.
    pub fn probes_due(&mut self, now: Timestamp, rng: &mut impl rand::Rng) -> Vec<Target> {
        let mut due = Vec::new();
        for (target, known) in &mut self.targets {
            let State::CutOff { next_probe_at, .. } = &mut known.state else {
                continue;
            };
            if now < *next_probe_at {
                continue;
            }
            *next_probe_at = now + PROBE_INTERVAL + PROBE_INTERVAL.mul_f64(rng.random::<f64>());
            due.push(target.clone());
        }
        due
    }

    /// Whether this daemon can't connect to the upstreams of the target.
    pub fn is_cut_off(&self, target: &Target) -> bool {
        let known = self.targets.get(target);
        known.is_some_and(|known| matches!(known.state, State::CutOff { .. }))
    }

    /// Whether a connection to an upstream of the target failed and none has succeeded since.
    pub fn is_doubtful(&self, target: &Target) -> bool {
        let known = self.targets.get(target);
        self.is_cut_off(target) || known.is_some_and(|known| !known.failed.is_empty())
    }

    /// Whether this daemon can't connect to any upstream.
    pub fn is_isolated(&self) -> bool {
        let mut states = self.targets.values().map(|known| known.state);
        states.any(
            |state| matches!(state, State::CutOff { since, .. } if self.last_contact_at < since),
        )
    }

    /// Proportion of the target's requests that this daemon sends to upstreams itself.
    pub fn direct_share(&self, now: Timestamp, target: &Target) -> f64 {
        match self.targets.get(target).map(|known| known.state) {
            None | Some(State::Connected) => 1.0,
            Some(State::CutOff { .. }) => 0.0,
            Some(State::Returning { since }) => {
                let elapsed = now.since(since).as_secs_f64() / RETURN_TIME.as_secs_f64();
                (MIN_DIRECT_SHARE + elapsed).min(1.0)
            }
        }
    }
}
