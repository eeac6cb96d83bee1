//! Whether requests to a target wait because this daemon uses up its own share of the upstreams'
//! capacity, rather than because no upstream can be sent to.

use std::time::Duration;

use crate::core::types::Timestamp;
use crate::settings::router::RouterSettings;

use super::dispatch::{Router, RouterAction};
use super::request::Target;
use super::target::TargetState;
use super::upstream::Upstream;

/// How long requests must wait for it before it is logged.
const MIN_LOGGED_TIME: Duration = Duration::from_millis(500);

/// Whether requests to a target wait for this daemon's own share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Saturation {
    /// They don't.
    #[default]
    None,
    /// They do since this time, which has not been logged.
    Since(Timestamp),
    /// They do since this time, which has been logged.
    Logged(Timestamp),
}

impl Upstream {
    /// Whether the upstream could be sent a request if this daemon did not use up its own share of
    /// its capacity.
    fn is_bound_by_share(&self, now: Timestamp, settings: &RouterSettings) -> bool {
        self.may_be_sent(now) && self.uses_up_share(settings)
    }
}

impl TargetState {
    /// Places of the target's upstreams that this daemon may use now, and places of all daemons
    /// together.
    fn places(&self, now: Timestamp, settings: &RouterSettings) -> (u32, u32) {
        let upstreams = self.upstreams.iter().filter(|u| u.is_eligible(now));
        upstreams.fold((0, 0), |(own, all), upstream| {
            let (own_limit, capacity) = upstream.places(settings);
            (own + own_limit, all + capacity)
        })
    }
}

impl Router {
    /// Records that a request to the target finds no upstream.
    pub(super) fn record_saturation(
        &mut self,
        now: Timestamp,
        target: &Target,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        let mut upstreams = state.upstreams.iter();
        if !upstreams.any(|upstream| upstream.is_bound_by_share(now, &self.settings)) {
            return;
        }
        match state.saturation {
            Saturation::None => state.saturation = Saturation::Since(now),
            Saturation::Since(since) if now.since(since) >= MIN_LOGGED_TIME => {
                state.saturation = Saturation::Logged(since);
                let (own, all) = state.places(now, &self.settings);
                out.push(RouterAction::Log(format!(
                    "{} requests for {target} wait for the share of this daemon, {own} of {all} places",
                    state.queue.len()
                )));
            }
            Saturation::Since(_) | Saturation::Logged(_) => {}
        }
    }

    /// Records that no request to the target waits.
    pub(super) fn end_saturation(
        &mut self,
        now: Timestamp,
        target: &Target,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        if let Saturation::Logged(since) = std::mem::take(&mut state.saturation) {
            let seconds = now.since(since).as_secs_f64();
            out.push(RouterAction::Log(format!(
                "no request for {target} waits for the share of this daemon any more, after {seconds:.1} s"
            )));
        }
    }

    /// For each target the number of waiting requests, the places of its upstreams that this daemon
    /// may use, and the places of all daemons together.
    pub fn queues(&self, now: Timestamp) -> impl Iterator<Item = QueueState<'_>> {
        self.targets.iter().map(move |(target, state)| {
            let (places, all_places) = state.places(now, &self.settings);
            QueueState {
                target,
                waiting: state.queue.len(),
                places,
                all_places,
            }
        })
    }
}

/// The queue of a target, and the capacity of its upstreams.
#[derive(Clone, Copy, Debug)]
pub struct QueueState<'a> {
    /// The target.
    pub target: &'a Target,
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of concurrent requests that this daemon may send to its upstreams.
    pub places: u32,
    /// Number of concurrent requests that all daemons together may send.
    pub all_places: u32,
}
