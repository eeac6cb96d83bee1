//! Load reports from upstreams, and what the router reports to other components.

use crate::core::engine::EngineStatus;
use crate::core::types::{ReplicaId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::{Target, UpstreamId};
use super::upstream::{Upstream, UpstreamSpec};

impl Router {
    /// Handles the answer to a load report request sent at `asked_at`; `None` if it failed.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        upstream: &UpstreamId,
        status: Option<&EngineStatus>,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let settings = self.settings;
        let Some((target, known)) = self.find(upstream) else {
            return;
        };
        match status {
            Some(status) => {
                known.on_report(asked_at, status, &settings);
                self.record_contact(now, &target, asked_at, out);
            }
            None => {
                known.on_report_failed(now);
                self.record_not_connected(now, &target, upstream, asked_at, out);
            }
        }
        self.dispatch(now, &target, rng, out);
    }

    /// Finds an upstream and its target by id.
    pub(super) fn find(&mut self, id: &UpstreamId) -> Option<(Target, &mut Upstream)> {
        self.targets.iter_mut().find_map(|(target, state)| {
            let upstream = state.upstreams.iter_mut().find(|u| u.spec.id == *id)?;
            Some((target.clone(), upstream))
        })
    }

    /// Returns the upstreams to request a load report from now, and records that it was
    /// requested.
    pub fn reports_wanted(&mut self, now: Timestamp) -> Vec<UpstreamSpec> {
        let settings = self.settings;
        self.targets
            .values_mut()
            .flat_map(|state| &mut state.upstreams)
            .filter_map(|upstream| {
                let wanted = upstream.wants_report(now, &settings);
                wanted.then(|| upstream.spec.clone())
            })
            .collect()
    }

    /// Replicas that were complete until recently.
    pub fn suspects(&self, now: Timestamp) -> Vec<ReplicaId> {
        self.upstreams()
            .filter(|upstream| upstream.is_suspect(now))
            .filter_map(Upstream::replica)
            .cloned()
            .collect()
    }

    /// Replicas that have produced output, and when they last did.
    pub fn last_outputs(&self) -> impl Iterator<Item = (&ReplicaId, Timestamp)> {
        self.upstreams()
            .filter_map(|upstream| Some((upstream.replica()?, upstream.output_at()?)))
    }
}
