//! Stalled replicas: none of their requests makes progress, as a member was lost or is paused.

use std::time::Duration;

use crate::core::types::{ReplicaId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::UpstreamId;
use super::upstream::{Evidence, Upstream};

/// Longest interval between ticks after which stalls are still detected. A daemon that was paused
/// for longer cannot determine which upstreams stalled in the meantime.
const MAX_TICK_GAP: Duration = Duration::from_millis(300);

impl Router {
    /// Whether this daemon was paused since the last tick.
    pub(super) fn was_paused(&self, now: Timestamp) -> bool {
        now.since(self.ticked_at) > MAX_TICK_GAP
    }

    /// Detects stalled replicas, which get no new requests until they make progress.
    pub(super) fn detect_stalled(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        let was_paused = self.was_paused(now);
        self.ticked_at = now;
        let settings = self.settings;
        for state in self.targets.values_mut() {
            for upstream in &mut state.upstreams {
                if was_paused {
                    upstream.restart_stall_clock(now);
                } else if upstream.check_stall(now, &settings) {
                    out.push(stalled_line(now, upstream));
                }
            }
        }
    }

    /// Handles a report that a replica is silent to the holder of control, which does not show that
    /// it is lost: it gets no new requests until it makes progress, or for a while if it runs none.
    pub fn on_replica_silent(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let settings = self.settings;
        let Some(upstream) = self.listed_replica(replica) else {
            return;
        };
        if upstream.on_reported_silent(now, &settings) {
            out.push(stalled_line(now, upstream));
        }
        self.hedge_silent(now, rng, out);
    }

    /// Handles the dissolution of a replica: it receives no further requests. Those in flight there
    /// end when the replica ends them, or go on elsewhere once a hedge produces output.
    pub fn on_replica_lost(
        &mut self,
        now: Timestamp,
        replica: &ReplicaId,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(upstream) = self.listed_replica(replica) else {
            return;
        };
        if upstream.is_lost() {
            return;
        }
        upstream.mark_lost();
        let id = UpstreamId::Replica(replica.clone());
        out.push(RouterAction::Log(format!("{id} lost a member")));
        self.hedge_silent(now, rng, out);
        self.dispatch_all(now, rng, out);
    }

    /// Finds a replica by its id. Where engines report, their reports decide which upstreams
    /// receive requests.
    fn listed_replica(&mut self, replica: &ReplicaId) -> Option<&mut Upstream> {
        let id = UpstreamId::Replica(replica.clone());
        let (_, upstream) = self.find(&id)?;
        (upstream.spec.evidence == Evidence::Listed).then_some(upstream)
    }
}

fn stalled_line(now: Timestamp, upstream: &Upstream) -> RouterAction {
    RouterAction::Log(format!(
        "{} is stalled: no output for {} ms, {} requests run there",
        upstream.spec.id,
        upstream.silent_for(now).as_millis(),
        upstream.in_flight()
    ))
}
