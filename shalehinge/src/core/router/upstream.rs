//! State of one upstream as seen by this daemon: evidence, available room and speed.

use std::time::Duration;

use crate::core::engine::{EngineLoad, EngineStatus};
use crate::core::types::{
    Address, EngineStart, FailureDomain, GroupNumber, HostId, ReplicaId, Timestamp,
};
use crate::settings::router::RouterSettings;

use super::cooldown::Cooldown;
use super::estimate::SmoothedDuration;
use super::leaving::LeavingState;
use super::limit_state::LimitState;
use super::outlier::OutlierState;
use super::prefix::PrefixHints;
use super::request::UpstreamId;
use super::warm_up::{WarmUpSpec, WarmUpState};

/// Fraction of the KV cache that reservations may fill; the rest allows for estimates that are
/// too low.
const KV_FILL_LIMIT: f64 = 0.95;
/// Number of requests a replica may be sent before its first report.
const INITIAL_ALLOWANCE: f64 = 2.0;

/// How long a listed upstream gets no new requests after a failure or refusal.
const BACKOFF: Duration = Duration::from_millis(250);
/// How long an upstream that stalled gets no new requests after its last progress.
const STALL_BACKOFF: Duration = Duration::from_secs(3);
/// How long an upstream that was reported to be silent gets no new requests, if it runs none.
const REPORTED_SILENCE_BACKOFF: Duration = Duration::from_secs(1);

/// Factor applied to `suspect_after` while no request on the upstream has produced output.
const NO_OUTPUT_SUSPECT_FACTOR: f64 = 2.5;
/// Factor applied to `stall_after` while no request on the upstream has produced output: the
/// requests may be queued at a busy upstream, and hedging them would add to the load.
const NO_OUTPUT_STALL_FACTOR: f64 = 4.0;

/// Number of requests that all daemons together may send to an upstream with this many slots.
fn capacity_of(slots: u32, settings: &RouterSettings) -> f64 {
    f64::from(slots) * (1.0 + settings.engine_backlog)
}

/// Smoothing weight of a report's figures, by their age.
fn smoothing(age_ms: Option<u64>) -> f64 {
    /// Figures up to this age, in ms, are used unsmoothed.
    const FRESH_MS: f64 = 100.0;
    /// Weight of figures of unknown age, and the minimum weight.
    const MIN_WEIGHT: f64 = 0.04;
    match age_ms {
        Some(age) => (FRESH_MS / age as f64).clamp(MIN_WEIGHT, 1.0),
        None => MIN_WEIGHT,
    }
}

/// An upstream as described by the topology.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Identifies the upstream.
    pub id: UpstreamId,
    /// Address it listens on; that of rank 0 for a replica.
    pub address: Address,
    /// The group that must be complete; `None` for a plain service.
    pub group: Option<GroupNumber>,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Whether the upstream is in another failure domain than the daemon.
    pub remote: bool,
    /// Whether the upstream may get new requests.
    pub accepts_new: bool,
    /// The host that receives the requests, if the host list names it.
    pub host: Option<HostId>,
    /// What shows that the upstream can serve.
    pub evidence: Evidence,
    /// Number of requests that it can run concurrently, if known in advance.
    pub slots: Option<u32>,
    /// When its engine started, if the host list states it.
    pub started: Option<EngineStart>,
    /// Its warm-up, if the host list states one and its service limits requests during it.
    pub warm_up: Option<WarmUpSpec>,
}

/// What shows that an upstream can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The upstream's own reports, each valid for a short time.
    Reports,
    /// The list that names the upstream.
    Listed,
}

/// A load report and when it was requested.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// The reported load.
    load: EngineLoad,
    /// When the report was requested.
    asked_at: Timestamp,
}

/// Estimated cost of a request to the upstream that runs it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens to compute: uncached prompt tokens and expected output tokens.
    pub tokens: f64,
    /// Peak use of the KV cache, in tokens.
    pub kv_peak: f64,
}

/// State of an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its description in the topology.
    pub spec: UpstreamSpec,
    /// Prompt prefixes that its cache probably holds.
    pub prefixes: PrefixHints,
    /// Its ejection state.
    pub outlier: OutlierState,
    /// The limit on requests from all daemons together, while the upstream names one.
    pub limit: LimitState,
    /// Its warm-up.
    pub warm_up: WarmUpState,
    /// The cooldown it requested from this daemon.
    pub cooldown: Cooldown,
    /// Whether it announced that it is leaving.
    pub leaving: LeavingState,
    /// Smoothed time to first token.
    pub first_token: SmoothedDuration,
    /// Smoothed interval between two tokens.
    pub token_interval: SmoothedDuration,
    /// The last load report.
    report: Option<Report>,
    /// When the next report may be requested.
    next_report_at: Timestamp,
    /// A report was requested and has not been answered yet.
    report_asked: bool,
    /// Time until which the last reports show that all members are present.
    complete_until: Timestamp,
    /// When evidence that the upstream cannot serve was last recorded. Reports of an earlier state
    /// are ignored.
    evidence_invalidated_at: Option<Timestamp>,
    /// The group was shown to be complete, and nothing has contradicted it since.
    was_complete: bool,
    /// When a group that was complete was first found to be incomplete or suspect.
    suspect_since: Option<Timestamp>,
    /// Number of this daemon's requests in flight there.
    in_flight: u32,
    /// Sum of their estimated peak KV cache use, in tokens.
    kv_in_flight: f64,
    /// Requests of other daemons in flight there, smoothed over reports.
    others_in_flight: Option<f64>,
    /// Maximum number of this daemon's concurrent requests there, from the last report.
    allowance: f64,
    /// Upper bound of `allowance`; doubles with each report.
    ramp: f64,
    /// Estimated peak KV cache use of the requests sent since the last report, less that of
    /// requests ended since, in tokens.
    kv_since_report: f64,
    /// Share of its capacity that this daemon may use, at most 1.
    traffic_share: f64,
    /// After a failure, a listed upstream gets no new requests until this time.
    backoff_until: Timestamp,
    /// When any request there last made progress, or began to wait for it.
    last_progress_at: Timestamp,
    /// When any request there last produced output.
    output_at: Option<Timestamp>,
    /// Requests are running there, and none has made progress for too long.
    stalled: bool,
    /// The upstream has definitely lost a member.
    lost: bool,
    /// Number of requests there whose output has begun.
    streaming: u32,
}

impl Upstream {
    /// Creates an upstream of which nothing but its description is known.
    pub fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            prefixes: PrefixHints::default(),
            outlier: OutlierState::default(),
            limit: LimitState::default(),
            warm_up: WarmUpState::default(),
            cooldown: Cooldown::default(),
            leaving: LeavingState::default(),
            first_token: SmoothedDuration::default(),
            token_interval: SmoothedDuration::default(),
            report: None,
            next_report_at: Timestamp::ZERO,
            report_asked: false,
            complete_until: Timestamp::ZERO,
            evidence_invalidated_at: None,
            was_complete: false,
            suspect_since: None,
            in_flight: 0,
            kv_in_flight: 0.0,
            others_in_flight: None,
            allowance: INITIAL_ALLOWANCE,
            ramp: INITIAL_ALLOWANCE,
            kv_since_report: 0.0,
            traffic_share: 1.0,
            backoff_until: Timestamp::ZERO,
            last_progress_at: Timestamp::ZERO,
            output_at: None,
            stalled: false,
            lost: false,
            streaming: 0,
        }
    }

    /// Applies a new description from the topology. An upstream whose engine has restarted is
    /// treated as new, except that requests still in flight stay counted.
    pub fn update(&mut self, now: Timestamp, spec: UpstreamSpec) {
        if EngineStart::differ(self.spec.started, spec.started) {
            let known = std::mem::replace(self, Self::new(spec));
            self.in_flight = known.in_flight;
            self.kv_in_flight = known.kv_in_flight;
            self.streaming = known.streaming;
            self.traffic_share = known.traffic_share;
            self.last_progress_at = known.last_progress_at;
            self.begin_warm_up(now);
            return;
        }
        self.spec = spec;
        self.begin_warm_up(now);
    }

    fn begin_warm_up(&mut self, now: Timestamp) {
        let was_limited = self.limit_rate(now).is_some();
        self.warm_up.update(now, self.spec.warm_up);
        if !was_limited && self.limit_rate(now).is_some() {
            self.limit.reset_permits();
        }
    }

    /// Begins a whole warm-up, if the upstream's service limits requests during it.
    pub fn restart_warm_up(&mut self, now: Timestamp) {
        self.warm_up.restart(now);
        self.limit.reset_permits();
    }

    /// The replica id, if the upstream is a replica of a model.
    pub fn replica(&self) -> Option<&ReplicaId> {
        match &self.spec.id {
            UpstreamId::Replica(replica) => Some(replica),
            UpstreamId::Instance(..) | UpstreamId::Host(..) => None,
        }
    }

    /// Whether the upstream exists and may get new requests, though perhaps not at this moment.
    pub fn is_present(&self, now: Timestamp) -> bool {
        self.spec.accepts_new && !self.lost && !self.is_leaving(now)
    }

    /// Whether the upstream announced that it is leaving.
    pub fn is_leaving(&self, now: Timestamp) -> bool {
        self.leaving.is_leaving(now, &self.spec.id)
    }

    /// Whether the upstream has definitely lost a member.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Records the definite loss of a member. This state is final: a new group of the same hosts
    /// has another number.
    pub fn mark_lost(&mut self) {
        self.lost = true;
    }

    /// The time before which the upstream gets no requests because of a cooldown, a failure or an
    /// ejection; `None` if it may get requests now.
    pub fn unavailable_until(&self, now: Timestamp) -> Option<Timestamp> {
        let cooldown = self.cooldown.blocked_until(now);
        let backoff = Some(self.backoff_until).filter(|until| now < *until);
        let ejection = self.outlier.ejected_until(now);
        cooldown.max(backoff).max(ejection)
    }

    /// Whether requests are running there and none has made progress for too long.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Whether fresh evidence shows that all members are present; always true for listed
    /// upstreams.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.spec.evidence == Evidence::Listed || now < self.complete_until
    }

    /// Time until which a request with this deadline may be sent, based on current evidence.
    pub fn valid_until(&self, deadline: Timestamp) -> Timestamp {
        match self.spec.evidence {
            Evidence::Reports => self.complete_until.min(deadline),
            Evidence::Listed => deadline,
        }
    }

    /// Number of this daemon's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether to request a report now; if so, records that it was requested.
    pub fn wants_report(&mut self, now: Timestamp, settings: &RouterSettings) -> bool {
        let reports = self.spec.evidence == Evidence::Reports;
        if !reports || self.report_asked || now < self.next_report_at {
            return false;
        }
        self.next_report_at = now + settings.report_interval;
        self.report_asked = true;
        true
    }

    /// Handles a report requested at `asked_at`.
    pub fn on_report(
        &mut self,
        asked_at: Timestamp,
        status: &EngineStatus,
        settings: &RouterSettings,
    ) {
        self.report_asked = false;
        let Some(group) = self.spec.group else {
            return;
        };
        let seen_at = asked_at.minus(Duration::from_millis(status.members_age_ms));
        if self.evidence_invalidated_at.is_some_and(|at| seen_at <= at) {
            return;
        }
        if !status.shows_complete(group) {
            self.invalidate_evidence(asked_at);
            return;
        }
        self.complete_until = self.complete_until.max(seen_at + settings.evidence_ttl);
        self.was_complete = true;
        self.suspect_since = None;
        let newer = self.report.is_none_or(|known| asked_at > known.asked_at);
        if newer {
            self.apply_load_report(asked_at, status.load, settings);
        }
    }

    fn apply_load_report(
        &mut self,
        asked_at: Timestamp,
        load: EngineLoad,
        settings: &RouterSettings,
    ) {
        self.report = Some(Report { load, asked_at });
        self.kv_since_report = 0.0;
        let own = f64::from(self.in_flight);
        let others_in_flight = f64::from(load.running) + f64::from(load.waiting) - own;
        self.smooth_others(others_in_flight, smoothing(load.age_ms));
        let limit = capacity_of(load.slots, settings);
        let outstanding = own + self.others_in_flight.unwrap_or_default();
        let free = limit - outstanding;
        self.ramp = (self.ramp * 2.0).min(limit);
        let allowance = if free > 0.0 {
            own + (free * self.traffic_share).ceil()
        } else {
            // The upstream is overcommitted: each daemon reduces its allowance in proportion.
            own + free * own / outstanding.max(1.0)
        };
        self.allowance = allowance.clamp(1.0, self.ramp.max(1.0));
    }

    /// Smooths the number of other daemons' requests. A report's figures on other daemons are as
    /// old as the report, while this daemon's own share is always known exactly. Without
    /// smoothing, all daemons would react to the same outdated figures at the same time and
    /// oscillate together.
    fn smooth_others(&mut self, others_in_flight: f64, smoothing: f64) {
        let known = self.others_in_flight.unwrap_or(others_in_flight);
        self.others_in_flight = Some((known + smoothing * (others_in_flight - known)).max(0.0));
    }

    /// Records that a report request failed.
    pub fn on_report_failed(&mut self, now: Timestamp) {
        self.report_asked = false;
        self.invalidate_evidence(now);
    }

    /// Records evidence that the upstream cannot serve; only newer evidence makes it eligible
    /// again.
    pub fn invalidate_evidence(&mut self, now: Timestamp) {
        if self.was_complete {
            self.was_complete = false;
            self.suspect_since = Some(now);
        }
        self.complete_until = Timestamp::ZERO;
        if self.spec.evidence == Evidence::Listed {
            self.backoff_until = now + BACKOFF;
            return;
        }
        self.evidence_invalidated_at = Some(now);
        self.ramp = INITIAL_ALLOWANCE;
        self.allowance = INITIAL_ALLOWANCE;
        self.prefixes.clear();
    }

    /// Whether the upstream was complete until recently, so that the lease holder of its failure
    /// domain should check it.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        const SUSPECT_RETENTION: Duration = Duration::from_secs(5);
        self.spec.accepts_new
            && self
                .suspect_since
                .is_some_and(|at| now.since(at) < SUSPECT_RETENTION)
    }

    /// Whether there is room for one more request of this daemon.
    pub fn has_room(&self, work: Work, settings: &RouterSettings) -> bool {
        if !self.cooldown.has_room() {
            return false;
        }
        if self.outlier.is_on_probation() {
            return self.in_flight == 0;
        }
        if self.spec.evidence == Evidence::Listed {
            return self.in_flight < self.concurrency_limit(settings);
        }
        let slot = f64::from(self.in_flight) < self.allowance;
        slot && (!settings.reserve_kv || self.has_kv_room(work))
    }

    /// Maximum number of this daemon's concurrent requests to a listed upstream. Not all daemons use
    /// their shares at the same time, so the share is multiplied by a factor.
    fn concurrency_limit(&self, settings: &RouterSettings) -> u32 {
        let Some(slots) = self.spec.slots else {
            return settings.service_concurrency;
        };
        let capacity = capacity_of(slots, settings);
        let share = capacity * settings.uneven_share * self.traffic_share;
        // `clamp` panics if its upper limit is below the lower one, as with 0 slots.
        share.ceil().min(capacity.ceil()).max(1.0) as u32
    }

    /// Whether this daemon has as many requests there as it may.
    pub fn uses_up_share(&self, settings: &RouterSettings) -> bool {
        match self.spec.evidence {
            Evidence::Listed => self.in_flight >= self.concurrency_limit(settings),
            Evidence::Reports => f64::from(self.in_flight) >= self.allowance,
        }
    }

    /// Maximum number of this daemon's concurrent requests there, and of all daemons' together.
    pub fn places(&self, settings: &RouterSettings) -> (u32, u32) {
        match self.spec.evidence {
            Evidence::Listed => {
                let own = self.concurrency_limit(settings);
                let slots = self.spec.slots.map(|slots| capacity_of(slots, settings));
                (own, slots.map_or(own, |slots| slots.ceil() as u32))
            }
            Evidence::Reports => {
                let slots = self.report.map_or(0, |report| report.load.slots);
                (
                    self.allowance as u32,
                    capacity_of(slots, settings).ceil() as u32,
                )
            }
        }
    }

    /// Sets the share of its capacity that this daemon may use, at most 1.
    pub fn set_traffic_share(&mut self, share: f64) {
        self.traffic_share = share;
    }

    /// Records the first output of a request.
    pub fn on_first_output(&mut self) {
        self.streaming += 1;
    }

    /// Records output of a request in flight there.
    pub fn on_progress(&mut self, now: Timestamp) {
        self.output_at = Some(now);
        self.restart_stall_clock(now);
    }

    /// When any request there last produced output.
    pub fn output_at(&self) -> Option<Timestamp> {
        self.output_at
    }

    /// Restarts the time without progress at `now`.
    pub fn restart_stall_clock(&mut self, now: Timestamp) {
        self.last_progress_at = now;
        self.stalled = false;
        if self.spec.evidence == Evidence::Listed {
            self.suspect_since = None;
        }
    }

    /// Time without progress of any request there, if requests are running.
    pub fn silent_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_progress_at)
    }

    /// Checks whether requests are running without progress; returns true when a stall is first
    /// detected. The upstream becomes suspect, which is reported to the lease holder, before its
    /// requests are hedged.
    pub fn check_stall(&mut self, now: Timestamp, settings: &RouterSettings) -> bool {
        let is_watched = self.spec.evidence == Evidence::Listed && self.spec.group.is_some();
        if !is_watched || self.in_flight == 0 || self.stalled || self.lost {
            return false;
        }
        if self.is_silent(now, settings) {
            self.suspect_since = Some(now);
        }
        // Requests without output may still be queued at the upstream.
        let factor = if self.streaming > 0 {
            1.0
        } else {
            NO_OUTPUT_STALL_FACTOR
        };
        self.stalled = self.silent_for(now) >= settings.stall_after.mul_f64(factor);
        self.stalled
    }

    /// Whether requests are running there and none has made progress for so long that the upstream
    /// is suspected.
    pub fn is_silent(&self, now: Timestamp, settings: &RouterSettings) -> bool {
        let factor = if self.streaming > 0 {
            1.0
        } else {
            NO_OUTPUT_SUSPECT_FACTOR
        };
        let is_watched = self.spec.evidence == Evidence::Listed && self.spec.group.is_some();
        let is_long = self.silent_for(now) >= settings.suspect_after.mul_f64(factor);
        is_watched && self.in_flight > 0 && is_long
    }

    /// Handles a report that the upstream is silent. Returns whether it is now stalled and was not
    /// before.
    pub fn on_reported_silent(&mut self, now: Timestamp, settings: &RouterSettings) -> bool {
        if self.in_flight == 0 {
            self.backoff_until = self.backoff_until.max(now + REPORTED_SILENCE_BACKOFF);
            return false;
        }
        let was_stalled = self.stalled;
        self.stalled |= self.is_silent(now, settings);
        self.stalled && !was_stalled
    }

    /// Whether the peak KV use of this work fits beside running requests and those sent since the
    /// last report.
    fn has_kv_room(&self, work: Work) -> bool {
        let Some(report) = self.report.filter(|report| report.load.kv_total > 0) else {
            return true;
        };
        let usable = report.load.kv_total as f64 * KV_FILL_LIMIT;
        let used = (report.load.kv_used as f64 + self.kv_since_report).max(self.kv_in_flight);
        self.in_flight == 0 || used + work.kv_peak <= usable
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, now: Timestamp, work: Work) {
        if self.in_flight == 0 {
            self.last_progress_at = now;
        }
        if self.limit_rate(now).is_some() {
            self.limit.on_sent();
        }
        self.cooldown.on_sent(now);
        self.in_flight += 1;
        self.kv_in_flight += work.kv_peak;
        self.kv_since_report += work.kv_peak;
    }

    /// Records that a request sent at `sent_at` has ended.
    pub fn on_ended(&mut self, sent_at: Timestamp, work: Work, had_output: bool) {
        self.cooldown.on_ended(sent_at);
        self.streaming = self.streaming.saturating_sub(u32::from(had_output));
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 && self.stalled {
            // No request is left there that could show progress, so a later request will test the
            // upstream after a delay.
            self.stalled = false;
            self.backoff_until = self
                .backoff_until
                .max(self.last_progress_at + STALL_BACKOFF);
        }
        self.kv_in_flight = (self.kv_in_flight - work.kv_peak).max(0.0);
        self.kv_since_report -= work.kv_peak;
    }

    /// Fraction of the capacity in use: requests of this daemon, and those of others according to
    /// reports.
    pub fn load(&self, settings: &RouterSettings) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = self.report.filter(|report| report.load.slots > 0) else {
            return own / f64::from(self.concurrency_limit(settings).max(1));
        };
        (own + self.others_in_flight.unwrap_or_default()) / f64::from(report.load.slots)
    }
}
