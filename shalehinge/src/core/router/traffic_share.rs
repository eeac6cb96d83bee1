//! This daemon's share of what all daemons may use together: the capacity of upstreams and the burst
//! of retries.
//!
//! Half of the total is divided equally, so that a daemon whose first callers arrive can serve them
//! at once. The other half is divided by the requests in progress at each daemon, so that it follows
//! the callers. A daemon always knows its own part of these, while what it knows of the others may be
//! some seconds old. If daemons know each other's loads, their shares add up to one.

use std::time::Duration;

use crate::core::load::{PeerLoad, TargetHash, TargetLoad};
use crate::core::types::Timestamp;

use super::dispatch::Router;
use super::target::TargetState;
use super::upstream::Upstream;

/// Fraction of its share of the fleet-wide retry burst that a daemon uses, as not every daemon
/// knows of all others.
const BURST_FRACTION: f64 = 0.7;
/// Time constant of the smoothing of the share of the retry burst: retries that were saved up are
/// lost whenever the share falls.
const BURST_SMOOTHING_TIME: Duration = Duration::from_secs(1);

/// The share of a daemon with `own` requests in progress, if `peers` are in progress at the other
/// `daemons - 1` daemons. An equal share if that is unknown.
pub fn traffic_share(daemons: usize, own: f64, peers: Option<f64>) -> f64 {
    let equal = 1.0 / daemons.max(1) as f64;
    let all = own + peers.unwrap_or_default();
    match peers {
        Some(_) if all > 0.0 => (equal + own / all) / 2.0,
        Some(_) | None => equal,
    }
}

impl TargetState {
    /// Number of requests that this daemon queues for the target or runs at its upstreams.
    pub(super) fn load(&self) -> usize {
        let in_flight = self.upstreams.iter().map(Upstream::in_flight);
        self.queue.len() + in_flight.sum::<u32>() as usize
    }

    /// Sets this daemon's share of the capacity of the target's upstreams, among `daemons` daemons.
    pub(super) fn update_share(&mut self, daemons: usize) {
        let share = traffic_share(daemons, self.load() as f64, self.peer_load);
        for upstream in &mut self.upstreams {
            upstream.set_traffic_share(share);
        }
    }
}

impl Router {
    /// Sets the number of daemons that send to the same upstreams, at least 1, and what is known of
    /// the others' load.
    pub fn set_fleet_load(&mut self, now: Timestamp, daemons: usize, peer_load: &PeerLoad) {
        self.daemon_count = daemons.max(1);
        let peers = self.daemon_count - 1;
        for (target, state) in &mut self.targets {
            state.peer_load = peer_load.requests_to(TargetHash::of(target), peers);
            state.update_share(self.daemon_count);
        }
        if self.settings.retry_burst_is_shared {
            self.update_burst(now, peer_load.all_requests(peers));
        }
    }

    /// The load of this daemon, for heartbeats.
    pub fn load(&self) -> Vec<TargetLoad> {
        let loads = self.targets.iter().map(|(target, state)| TargetLoad {
            target: TargetHash::of(target),
            requests: state.load() as u32,
        });
        loads.filter(|load| load.requests > 0).collect()
    }

    fn update_burst(&mut self, now: Timestamp, peer_load: Option<f64>) {
        let own: usize = self.targets.values().map(TargetState::load).sum();
        let share = traffic_share(self.daemon_count, own as f64, peer_load);
        let elapsed = now.since(self.burst_updated_at).as_secs_f64();
        let weight = 1.0 - (-elapsed / BURST_SMOOTHING_TIME.as_secs_f64()).exp();
        let known = self.burst_share.unwrap_or(share);
        let smoothed = known + weight * (share - known);
        self.burst_share = Some(smoothed);
        self.burst_updated_at = now;
        let burst = self.settings.retry_burst * BURST_FRACTION * smoothed;
        self.retries.set_burst(burst);
    }
}
