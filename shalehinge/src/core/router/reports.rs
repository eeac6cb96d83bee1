//! What upstreams report, and what the router knows of them for others.

use crate::core::engine::EngineStatus;
use crate::core::types::{ReplicaId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::request::{Target, UpstreamId};
use super::upstream::{Upstream, UpstreamSpec};

impl Router {
    /// A load report came.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        upstream: &UpstreamId,
        status: Option<&EngineStatus>,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let (settings, sharers) = (self.settings, self.sharers);
        let Some((target, known)) = self.find(upstream) else {
            return;
        };
        match status {
            Some(status) => known.on_report(asked_at, status, sharers, &settings),
            None => known.on_report_failed(now),
        }
        self.dispatch(now, &target, rng, out);
    }

    pub(super) fn find(&mut self, id: &UpstreamId) -> Option<(Target, &mut Upstream)> {
        self.targets.iter_mut().find_map(|(target, state)| {
            let upstream = state.upstreams.iter_mut().find(|u| u.spec.id == *id)?;
            Some((target.clone(), upstream))
        })
    }

    /// Upstreams whose report should be asked for now.
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

    /// Replicas that were complete until a short while ago.
    pub fn suspects(&self, now: Timestamp) -> Vec<ReplicaId> {
        self.upstreams()
            .filter(|upstream| upstream.is_suspect(now))
            .filter_map(Upstream::replica)
            .cloned()
            .collect()
    }

    /// Replicas that brought output, and when they last did.
    pub fn last_outputs(&self) -> impl Iterator<Item = (&ReplicaId, Timestamp)> {
        self.upstreams()
            .filter_map(|upstream| Some((upstream.replica()?, upstream.output_at()?)))
    }
}
