//! Overloaded upstreams that name a limit on the requests they accept from all daemons together.
//!
//! A request is sent to such an upstream only with a permit of the limit's owner. Permits are
//! requested in advance while other upstreams serve, and immediately if requests are waiting for
//! them.

use std::time::Duration;

use crate::core::advertised_limit::{AdvertisedLimit, RequestRate};
use crate::core::permits::{LimitReport, PermitGrant, burst_size, effective_rate};
use crate::core::signal::UpstreamSignal;
use crate::core::types::{EngineStart, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::limit_state::{LimitChange, PermitUrgency};
use super::request::UpstreamId;
use super::target::TargetState;
use super::upstream::Upstream;

impl Router {
    /// Upstreams with a limit in force, and the limit.
    pub fn limited_upstreams(&self) -> impl Iterator<Item = (&UpstreamId, RequestRate)> {
        self.upstreams()
            .filter_map(|upstream| Some((&upstream.spec.id, upstream.limit.rate()?)))
    }

    /// Applies a limit reported by another daemon at `reported_at`.
    pub fn apply_reported_limit(
        &mut self,
        now: Timestamp,
        reported_at: Timestamp,
        report: &LimitReport,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some((target, upstream)) = self.find(&report.upstream) else {
            return;
        };
        if EngineStart::differ(upstream.spec.started, report.started) {
            return;
        }
        let as_of = reported_at.minus(Duration::from_millis(report.ms_ago));
        let Some(change) = upstream.limit.set(as_of, report.rate) else {
            return;
        };
        out.push(limit_line(&report.upstream, &change));
        self.dispatch(now, &target, rng, out);
    }

    /// Restarts the measurement of how fast requests are sent to an upstream's target, after a
    /// time without permits that says nothing about the rate.
    pub fn restart_drain_rate(&mut self, now: Timestamp, upstream: &UpstreamId) {
        let target = self.find(upstream).map(|(target, _)| target);
        if let Some(state) = target.and_then(|target| self.targets.get_mut(&target)) {
            state.drain.restart(now);
        }
    }

    /// Reports an upstream's limit to an owner that this daemon did not know, and requests permits
    /// again if requests wait for them.
    pub fn on_owner_changed(
        &mut self,
        now: Timestamp,
        upstream: &UpstreamId,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some((target, upstream)) = self.find(upstream) else {
            return;
        };
        if upstream.limit.rate().is_some() {
            out.push(RouterAction::ReportLimit(named_limit_report(now, upstream)));
        }
        upstream.limit.forget_request();
        self.dispatch(now, &target, rng, out);
    }

    /// Handles permits granted by a limit's owner.
    pub fn on_permits(
        &mut self,
        now: Timestamp,
        grant: &PermitGrant,
        rng: &mut impl rand::Rng,
        out: &mut Vec<RouterAction>,
    ) {
        let Some((target, upstream)) = self.find(&grant.upstream) else {
            return;
        };
        upstream.limit.on_granted(now, grant.count);
        self.dispatch(now, &target, rng, out);
    }
}

impl Upstream {
    /// Handles the limit in the answer to a request sent at `sent_at`. Only a successful answer
    /// without a limit shows that there is none.
    pub(super) fn on_limit_named(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        signal: UpstreamSignal,
        out: &mut Vec<RouterAction>,
    ) {
        if !signal.is_success() && signal.limit == AdvertisedLimit::None {
            return;
        }
        let Some(change) = self.limit.on_answer(now, sent_at, signal.limit) else {
            return;
        };
        out.push(limit_line(&self.spec.id, &change));
        if !matches!(change, LimitChange::Unreadable(_)) {
            out.push(RouterAction::ReportLimit(named_limit_report(now, self)));
        }
    }

    /// The limit on requests from all daemons together that applies now: the one that the upstream
    /// named or that of its warm-up, whichever is lower.
    pub fn limit_rate(&self, now: Timestamp) -> Option<RequestRate> {
        let named = self.limit.rate();
        let warm_up = self.warm_up.rate(now);
        match (named, warm_up) {
            (Some(named), Some(warm_up)) if warm_up < named => Some(warm_up),
            (named, warm_up) => named.or(warm_up),
        }
    }

    /// Whether no limit applies, or a permit is held.
    pub fn is_within_limit(&self, now: Timestamp) -> bool {
        self.limit.has_permit(now) || self.limit_rate(now).is_none()
    }

    /// Whether a permit is held for a request that was sent elsewhere before the permit arrived.
    /// The next request then uses it: otherwise it might expire, and no answer would show that the
    /// limit has ended.
    pub(super) fn owes_request(&self, now: Timestamp) -> bool {
        self.limit_rate(now).is_some() && self.limit.has_permit_for_diverted(now)
    }
}

impl TargetState {
    /// Requests permits for an upstream, unless they were requested recently.
    pub(super) fn ask_permits(
        &mut self,
        now: Timestamp,
        index: usize,
        urgency: PermitUrgency,
    ) -> Option<RouterAction> {
        let upstream = self.upstreams.get_mut(index)?;
        upstream.limit_rate(now)?;
        let wanted = upstream.limit.permits_wanted(now, urgency)?;
        let known = limit_report(now, upstream);
        Some(RouterAction::RequestPermits { known, wanted })
    }

    /// Requests permits while queued requests cannot be sent to upstreams without a limit.
    /// Permits are requested for at most as many upstreams as there are queued requests.
    pub(super) fn ask_permits_for_all(&mut self, now: Timestamp, out: &mut Vec<RouterAction>) {
        let is_limited = |u: &Upstream| u.limit_rate(now).is_some() && u.is_eligible(now);
        let limited: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| is_limited(&self.upstreams[*index]))
            .collect();
        let awaiting_permits = limited
            .iter()
            .filter(|index| self.upstreams[**index].limit.awaits_permits(now))
            .count();
        let max_requests = self.queue.len().saturating_sub(awaiting_permits);
        let requested = limited
            .into_iter()
            .filter_map(|index| self.ask_permits(now, index, PermitUrgency::Immediate));
        out.extend(requested.take(max_requests));
    }

    /// Lower bound of the time until all queued requests and one more are sent, if every upstream
    /// has a limit: this daemon gets at most all permits. Zero if any upstream has no limit.
    pub(super) fn min_wait(&self, now: Timestamp) -> Duration {
        let mut rate = 0.0;
        let mut initial_burst = 0.0;
        for upstream in self.upstreams.iter().filter(|u| u.is_eligible(now)) {
            let Some(limit) = upstream.limit_rate(now) else {
                return Duration::ZERO;
            };
            rate += effective_rate(limit);
            initial_burst += burst_size(limit);
        }
        let remaining = self.queue.len() as f64 + 1.0 - initial_burst;
        if rate <= 0.0 || remaining <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(remaining / rate)
    }
}

fn named_limit_report(now: Timestamp, upstream: &Upstream) -> LimitReport {
    LimitReport {
        upstream: upstream.spec.id.clone(),
        failure_domain: upstream.spec.failure_domain.clone(),
        started: upstream.spec.started,
        rate: upstream.limit.rate(),
        ms_ago: now.millis_since(upstream.limit.as_of()),
        expires_in_ms: None,
    }
}

/// Reports the limit that applies now: that of the warm-up if the upstream named none or a higher
/// one.
fn limit_report(now: Timestamp, upstream: &Upstream) -> LimitReport {
    let named = named_limit_report(now, upstream);
    let rate = upstream.limit_rate(now);
    if named.rate == rate {
        return named;
    }
    LimitReport {
        rate,
        ms_ago: 0,
        expires_in_ms: upstream.warm_up.ends_in_ms(now),
        ..named
    }
}

fn limit_line(upstream: &UpstreamId, change: &LimitChange) -> RouterAction {
    RouterAction::Log(match change {
        LimitChange::Begins(rate) => {
            format!(
                "{upstream} names a limit of {rate} requests per second for all daemons together"
            )
        }
        LimitChange::Changes(rate) => {
            format!(
                "{upstream} changes its limit to {rate} requests per second for all daemons together"
            )
        }
        LimitChange::Ends => format!("{upstream} names no limit any more"),
        LimitChange::Unreadable(text) => {
            format!("{upstream} names an invalid limit, which is ignored: {text:?}")
        }
    })
}
