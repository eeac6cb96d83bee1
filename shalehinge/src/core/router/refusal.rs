//! Refusal of requests before they are sent, on arrival and while they wait.

use std::time::Duration;

use crate::core::types::Timestamp;
use crate::settings::router::RouterSettings;

use super::dispatch::{Router, RouterAction};
use super::quarantine::{Evidence, Quarantine, Quarantined};
use super::request::{NotRunReason, Outcome, RequestMeta, Target};
use super::target::Pending;
use super::trial::TrialState;

/// Longest retry-after time given to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Shortest retry-after time, unless the settings specify a shorter one.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after a crash before the requests that ran there are tried. By then, related crashes have
/// occurred and been reported.
const MIN_TRIAL_DELAY: Duration = Duration::from_millis(1_200);
/// Time after a crash during which a trial waits for missing upstreams to return.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(6);
/// Retry-after time for a suspected request that got no trial.
pub(super) const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Why a request is refused, and the retry-after time for its caller.
type Refusal = (NotRunReason, Duration);

/// Inputs to the decision whether a queued request is still sent.
pub(super) struct QueuedContext<'a> {
    /// The current time.
    pub(super) now: Timestamp,
    /// Settings of the router.
    pub(super) settings: &'a RouterSettings,
    /// Quarantined requests.
    pub(super) quarantine: &'a Quarantine,
    /// Time until which requests that carry a key may be sent.
    pub(super) keys_valid_until: Option<Timestamp>,
    /// Estimated time from sending the request to its complete answer.
    pub(super) service_time: Duration,
    /// The queued request.
    pub(super) pending: &'a Pending,
}

/// Returns the refusal for a queued request that should no longer be sent.
pub(super) fn queued_refusal(context: &QueuedContext<'_>) -> Option<Refusal> {
    let &QueuedContext {
        now,
        settings,
        pending,
        ..
    } = context;
    let meta = &pending.meta;
    let quarantined = context.quarantine.active_for(now, meta, settings);
    let is_tried = matches!(pending.trial, TrialState::At { .. });
    if let Some(quarantined) =
        quarantined.filter(|quarantined| !is_tried || quarantined.evidence == Evidence::Proven)
    {
        let retry_after =
            retry_after_of(now, &quarantined, settings).unwrap_or(SUSPECT_RETRY_AFTER);
        return Some((NotRunReason::Quarantined, retry_after));
    }
    let has_waited = now > pending.arrived_at;
    let is_too_late = settings.early_refusal
        && has_waited
        && pending.attempts == 0
        && context.service_time > meta.deadline.since(now);
    if is_too_late {
        return Some((NotRunReason::WouldBeLate, settings.retry_after));
    }
    let is_out_of_date = context.keys_valid_until.is_some_and(|until| now >= until);
    let needs_key = pending.needs_confirmed_key();
    (needs_key && is_out_of_date).then_some((NotRunReason::OutOfDate, settings.retry_after))
}

/// Returns the refusal for a request if no upstream can take it for `wait` and it cannot wait
/// that long.
pub(super) fn unavailable_refusal(
    settings: &RouterSettings,
    wait: Duration,
    time_left: Duration,
) -> Option<Refusal> {
    let is_too_long = settings.early_refusal && wait > time_left.min(settings.max_wait);
    is_too_long.then(|| {
        let retry_after = bounded_retry_after(wait, settings);
        (NotRunReason::NoUpstreamInTime, retry_after)
    })
}

/// The outcome of a refused request.
pub(super) fn refused((reason, retry_after): Refusal) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after,
    }
}

/// Limits a retry-after time: long enough that callers do not return in vain, short enough that
/// they return soon after other upstreams become available.
fn bounded_retry_after(wait: Duration, settings: &RouterSettings) -> Duration {
    let shortest = settings.retry_after.min(MIN_RETRY_AFTER);
    wait.clamp(shortest, MAX_RETRY_AFTER)
}

/// Retry-after time for the caller of a quarantined request: until the trial of a suspected
/// request, or until the quarantine of a proven one ends, up to [`MAX_RETRY_AFTER`]. `None` if
/// it may be tried now.
fn retry_after_of(
    now: Timestamp,
    quarantined: &Quarantined,
    settings: &RouterSettings,
) -> Option<Duration> {
    let until = match quarantined.evidence {
        Evidence::Suspected => quarantined.last_lost_at + MIN_TRIAL_DELAY,
        Evidence::Proven => quarantined.last_lost_at + settings.quarantine_for,
    };
    (now < until).then(|| until.since(now).min(MAX_RETRY_AFTER))
}

impl Router {
    /// Returns the refusal that a new request would receive now, if any.
    pub fn refusal(&self, now: Timestamp, meta: &RequestMeta, share: u32) -> Option<Refusal> {
        let Some(state) = self.targets.get(&meta.target) else {
            return Some((NotRunReason::UnknownTarget, MAX_RETRY_AFTER));
        };
        let quarantined = self.quarantine.active_for(now, meta, &self.settings);
        if let Some(quarantined) = quarantined {
            if let Some(left) = retry_after_of(now, &quarantined, &self.settings) {
                return Some((NotRunReason::Quarantined, left));
            }
            // A trial may crash another upstream, so it waits until those that crashed have
            // returned.
            let may_wait = now < quarantined.last_lost_at + MAX_TRIAL_DELAY;
            if may_wait && state.recent_capacity.is_below_recent(state.present(now)) {
                return Some((NotRunReason::Quarantined, SUSPECT_RETRY_AFTER));
            }
        }
        let retry_after = self.settings.retry_after;
        let is_out_of_date = self.keys_valid_until.is_some_and(|until| now >= until);
        if is_out_of_date && meta.credential.is_some() {
            return Some((NotRunReason::OutOfDate, retry_after));
        }
        if self.can_forward(now, &meta.target) {
            return None;
        }
        let Some(unavailable_for) = state.unavailable_for(now) else {
            return Some((NotRunReason::NoUpstream, retry_after));
        };
        if !self.settings.early_refusal {
            return None;
        }
        let time_left = meta.deadline.since(now);
        let wait = state.wait_of(&meta.customer, share, state.cost_of(meta));
        let wait = wait.max(state.min_wait(now)).max(unavailable_for);
        let has_room = state.queue.is_empty() && state.upstreams.iter().any(|u| u.is_eligible(now));
        let service_time = state.service_time(meta);
        if has_room {
            // Accept the request: estimates from a period of overload must not keep out requests
            // that would correct them.
            return None;
        }
        let longest_wait = time_left
            .saturating_sub(service_time)
            .min(self.settings.max_wait);
        if wait <= longest_wait && service_time <= time_left {
            return None;
        }
        if unavailable_for > longest_wait {
            let retry_after = bounded_retry_after(unavailable_for, &self.settings);
            return Some((NotRunReason::NoUpstreamInTime, retry_after));
        }
        let excess = wait.saturating_sub(longest_wait);
        let retry_after = bounded_retry_after(excess, &self.settings);
        Some((NotRunReason::WouldBeLate, retry_after))
    }

    /// Retry-after time for the caller of a request that upstreams refused.
    pub(super) fn retry_after(&self, now: Timestamp, target: &Target) -> Duration {
        let state = self.targets.get(target);
        let unavailable_for = state.and_then(|state| state.unavailable_for(now));
        match unavailable_for {
            None | Some(Duration::ZERO) => self.settings.retry_after,
            Some(wait) => bounded_retry_after(wait, &self.settings),
        }
    }

    /// Refuses one queued request if too many are queued.
    pub(super) fn evict_overflow(&mut self, target: &Target, out: &mut Vec<RouterAction>) {
        if self.waiting <= self.settings.max_waiting {
            return;
        }
        let state = self.targets.get_mut(target);
        if let Some(evicted) = state.and_then(|state| state.queue.evict()) {
            self.waiting -= 1;
            self.answer(evicted.request, self.not_run(NotRunReason::QueueFull), out);
        }
    }
}
