//! One upstream as this daemon sees it: evidence, room and speed.

use std::time::Duration;

use crate::core::engine::{EngineLoad, EngineStatus};
use crate::core::types::{
    Address, EngineStart, FailureDomain, GroupNumber, HostId, ReplicaId, Timestamp,
};
use crate::settings::router::RouterSettings;

use super::cooldown::Cooldown;
use super::estimate::SmoothedDuration;
use super::leaving::LeavingState;
use super::named::LimitState;
use super::outlier::OutlierState;
use super::prefix::PrefixHints;
use super::request::UpstreamId;

/// Part of the KV memory that reservations may fill; the rest is for estimates
/// that were too low.
const KV_FILL: f64 = 0.95;
/// Requests that a replica may be sent before its first report came.
const FIRST_ALLOWANCE: f64 = 2.0;

/// How long a listed upstream gets nothing new after a failure or refusal.
const BACKOFF: Duration = Duration::from_millis(250);
/// How long one that stood still gets nothing new after its last request ended.
const STALL_BACKOFF: Duration = Duration::from_secs(3);

/// How much longer requests without any output may stand, against `suspect_after`.
const UNSEEN_SUSPICION: f64 = 2.5;
/// The same against `stall_after`: they may wait for their turn at an upstream that has
/// much to do, and to move them then would add to it.
const UNSEEN_PATIENCE: f64 = 4.0;

/// Weight of a report's figures against what is known, by their age.
fn smoothing(age_ms: Option<u64>) -> f64 {
    /// Figures up to this age count as they are.
    const FRESH_MS: f64 = 100.0;
    /// Weight of figures of unknown age.
    const LEAST: f64 = 0.04;
    match age_ms {
        Some(age) => (FRESH_MS / age as f64).clamp(LEAST, 1.0),
        None => LEAST,
    }
}

/// What the topology says of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its name.
    pub id: UpstreamId,
    /// Where it listens; rank 0 for a replica.
    pub address: Address,
    /// The group that must be complete; `None` for a plain service.
    pub group: Option<GroupNumber>,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// Whether that is another failure domain than the daemon's.
    pub remote: bool,
    /// Whether it may be given new work.
    pub accepts_new: bool,
    /// The host that takes the requests, where the host list names it.
    pub host: Option<HostId>,
    /// What shows that it can serve.
    pub evidence: Evidence,
    /// Requests that it runs at once, where that is known beforehand.
    pub slots: Option<u32>,
    /// When its engine started, where the host list tells.
    pub started: Option<EngineStart>,
}

/// What shows that an upstream can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Its own reports, which count for a short time.
    Reports,
    /// The list that names it.
    Listed,
}

/// A load report with the time from which it counts.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: EngineLoad,
    asked_at: Timestamp,
}

/// What a request costs an upstream while it runs there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Tokens to compute: prompt not cached and expected output.
    pub tokens: f64,
    /// KV memory at its peak, in tokens.
    pub kv_peak: f64,
}

/// An upstream with all that is known of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the topology says.
    pub spec: UpstreamSpec,
    /// Prompts it probably holds.
    pub prefixes: PrefixHints,
    /// Whether it is trusted.
    pub outlier: OutlierState,
    /// How many requests it takes from all daemons together, while it names that.
    pub limit: LimitState,
    /// How long it wants no requests from this daemon.
    pub cooldown: Cooldown,
    /// Whether it said that it is leaving.
    pub leaving: LeavingState,
    /// Time to the first token.
    pub first_token: SmoothedDuration,
    /// Time between two tokens.
    pub token_interval: SmoothedDuration,
    report: Option<Report>,
    next_report_at: Timestamp,
    report_asked: bool,
    complete_until: Timestamp,
    contradicted_at: Option<Timestamp>,
    /// It was shown to be complete, and nothing has shown otherwise since.
    was_complete: bool,
    /// When a complete one was first shown to be no longer.
    suspect_since: Option<Timestamp>,
    in_flight: u32,
    kv_in_flight: f64,
    /// Requests of other daemons, smoothed over reports.
    others: Option<f64>,
    allowance: f64,
    ramp: f64,
    kv_since_report: f64,
    sharers: usize,
    /// A listed one gets nothing new until then, after a failure.
    backoff_until: Timestamp,
    /// When output of any request there last came, or the wait for it began.
    moved_at: Timestamp,
    /// When output of any request there last came.
    output_at: Option<Timestamp>,
    /// Requests run there, and none has moved for long.
    stalled: bool,
    lost: bool,
    /// Requests there whose output has begun.
    streaming: u32,
}

impl Upstream {
    /// An upstream of which nothing is known yet.
    pub fn new(spec: UpstreamSpec) -> Self {
        Self {
            spec,
            prefixes: PrefixHints::default(),
            outlier: OutlierState::default(),
            limit: LimitState::default(),
            cooldown: Cooldown::default(),
            leaving: LeavingState::default(),
            first_token: SmoothedDuration::default(),
            token_interval: SmoothedDuration::default(),
            report: None,
            next_report_at: Timestamp::ZERO,
            report_asked: false,
            complete_until: Timestamp::ZERO,
            contradicted_at: None,
            was_complete: false,
            suspect_since: None,
            in_flight: 0,
            kv_in_flight: 0.0,
            others: None,
            allowance: FIRST_ALLOWANCE,
            ramp: FIRST_ALLOWANCE,
            kv_since_report: 0.0,
            sharers: 1,
            backoff_until: Timestamp::ZERO,
            moved_at: Timestamp::ZERO,
            output_at: None,
            stalled: false,
            lost: false,
            streaming: 0,
        }
    }

    /// Takes in what the topology says now. An engine that started again is as one that was
    /// never seen: only the requests that are still under way are counted on.
    pub fn update(&mut self, spec: UpstreamSpec) {
        if EngineStart::differ(self.spec.started, spec.started) {
            let known = std::mem::replace(self, Self::new(spec));
            self.in_flight = known.in_flight;
            self.kv_in_flight = known.kv_in_flight;
            self.streaming = known.streaming;
            self.sharers = known.sharers;
            self.moved_at = known.moved_at;
            return;
        }
        self.spec = spec;
    }

    /// The replica of a model that it is, if it is one.
    pub fn replica(&self) -> Option<&ReplicaId> {
        match &self.spec.id {
            UpstreamId::Replica(replica) => Some(replica),
            UpstreamId::Instance(..) | UpstreamId::Host(..) => None,
        }
    }

    /// Whether it is there and may be given new work, if not now.
    pub fn is_present(&self, now: Timestamp) -> bool {
        self.spec.accepts_new && !self.lost && !self.is_leaving(now)
    }

    /// Whether it said that it is leaving.
    pub fn is_leaving(&self, now: Timestamp) -> bool {
        self.leaving.is_leaving(now, &self.spec.id)
    }

    /// Whether it surely lost a member.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// It surely lost a member; another group of these hosts has another number.
    pub fn on_lost(&mut self) {
        self.lost = true;
    }

    /// Until when it gets nothing, if that is so now, for a cooldown, a failure or an ejection.
    pub fn held_back_until(&self, now: Timestamp) -> Option<Timestamp> {
        let cooldown = self.cooldown.blocked_until(now);
        let backoff = Some(self.backoff_until).filter(|until| now < *until);
        let ejection = self.outlier.ejected_until(now);
        cooldown.max(backoff).max(ejection)
    }

    /// Whether requests run there and none has moved for long.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Whether fresh evidence shows all members present; plain services have none.
    pub fn is_complete(&self, now: Timestamp) -> bool {
        self.spec.evidence == Evidence::Listed || now < self.complete_until
    }

    /// Until when a request with this deadline may be sent on what is known now.
    pub fn valid_until(&self, deadline: Timestamp) -> Timestamp {
        match self.spec.evidence {
            Evidence::Reports => self.complete_until.min(deadline),
            Evidence::Listed => deadline,
        }
    }

    /// Requests of this daemon that run there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether a report should be asked for now; notes that it was.
    pub fn wants_report(&mut self, now: Timestamp, settings: &RouterSettings) -> bool {
        let reports = self.spec.evidence == Evidence::Reports;
        if !reports || self.report_asked || now < self.next_report_at {
            return false;
        }
        self.next_report_at = now + settings.report_interval;
        self.report_asked = true;
        true
    }

    /// A report came that was asked for at `asked_at`. `sharers` daemons send there.
    pub fn on_report(
        &mut self,
        asked_at: Timestamp,
        status: &EngineStatus,
        sharers: usize,
        settings: &RouterSettings,
    ) {
        self.report_asked = false;
        let Some(group) = self.spec.group else {
            return;
        };
        let seen_at = asked_at.minus(Duration::from_millis(status.members_age_ms));
        if self.contradicted_at.is_some_and(|at| seen_at <= at) {
            return;
        }
        if !status.shows_complete(group) {
            self.contradict(asked_at);
            return;
        }
        self.complete_until = self.complete_until.max(seen_at + settings.evidence_ttl);
        self.was_complete = true;
        self.suspect_since = None;
        let newer = self.report.is_none_or(|known| asked_at > known.asked_at);
        if newer {
            self.take_load(asked_at, status.load, sharers, settings);
        }
    }

    fn take_load(
        &mut self,
        asked_at: Timestamp,
        load: EngineLoad,
        sharers: usize,
        settings: &RouterSettings,
    ) {
        self.report = Some(Report { load, asked_at });
        self.kv_since_report = 0.0;
        let own = f64::from(self.in_flight);
        let others = f64::from(load.running + load.waiting) - own;
        self.note_others(others, smoothing(load.age_ms));
        let limit = f64::from(load.slots) * (1.0 + settings.engine_backlog);
        let outstanding = own + self.others.unwrap_or_default();
        let free = limit - outstanding;
        self.ramp = (self.ramp * 2.0).min(limit);
        let allowance = if free > 0.0 {
            own + (free / sharers.max(1) as f64).ceil()
        } else {
            // Too much is there: everyone steps back by its part of it.
            own + free * own / outstanding.max(1.0)
        };
        self.allowance = allowance.clamp(1.0, self.ramp.max(1.0));
    }

    /// What a report says of the others is as old as the report, while this
    /// daemon's own part is always known exactly. Old figures are smoothed: all
    /// daemons that act at once on the same old figures would swing together.
    fn note_others(&mut self, others: f64, smoothing: f64) {
        let known = self.others.unwrap_or(others);
        self.others = Some((known + smoothing * (others - known)).max(0.0));
    }

    /// No report came.
    pub fn on_report_failed(&mut self, now: Timestamp) {
        self.report_asked = false;
        self.contradict(now);
    }

    /// Something showed that it can't serve: only later evidence counts again.
    pub fn contradict(&mut self, now: Timestamp) {
        if self.was_complete {
            self.was_complete = false;
            self.suspect_since = Some(now);
        }
        self.complete_until = Timestamp::ZERO;
        if self.spec.evidence == Evidence::Listed {
            self.backoff_until = now + BACKOFF;
            return;
        }
        self.contradicted_at = Some(now);
        self.ramp = FIRST_ALLOWANCE;
        self.allowance = FIRST_ALLOWANCE;
        self.prefixes.clear();
    }

    /// Whether it was complete until a short while ago: its failure domain's
    /// lease holder should look at it.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        const TOLD_FOR: Duration = Duration::from_secs(5);
        self.spec.accepts_new
            && self
                .suspect_since
                .is_some_and(|at| now.since(at) < TOLD_FOR)
    }

    /// Whether one more request of this daemon has room there.
    pub fn has_room(&self, work: Work, settings: &RouterSettings) -> bool {
        if !self.cooldown.has_room() {
            return false;
        }
        if self.outlier.is_on_probation() {
            return self.in_flight == 0;
        }
        if self.spec.evidence == Evidence::Listed {
            return self.in_flight < self.own_limit(settings);
        }
        let slot = f64::from(self.in_flight) < self.allowance;
        slot && (!settings.reserve_kv || self.has_kv_room(work))
    }

    /// Requests of this daemon that a listed upstream may run at a time. Others
    /// send there too, unevenly, so the even part is exceeded by a factor.
    fn own_limit(&self, settings: &RouterSettings) -> u32 {
        let Some(slots) = self.spec.slots else {
            return settings.service_concurrency;
        };
        let whole = f64::from(slots) * (1.0 + settings.engine_backlog);
        let part = whole * settings.uneven_share / self.sharers.max(1) as f64;
        part.ceil().clamp(1.0, whole.ceil()) as u32
    }

    /// How many daemons send there.
    pub fn set_sharers(&mut self, sharers: usize) {
        self.sharers = sharers;
    }

    /// The first output of a request came.
    pub fn on_first_output(&mut self) {
        self.streaming += 1;
    }

    /// Output of a request that runs there came.
    pub fn on_progress(&mut self, now: Timestamp) {
        self.output_at = Some(now);
        self.restart_stall_clock(now);
    }

    /// When output of any request there last came.
    pub fn output_at(&self) -> Option<Timestamp> {
        self.output_at
    }

    /// Counts the time without output anew.
    pub fn restart_stall_clock(&mut self, now: Timestamp) {
        self.moved_at = now;
        self.stalled = false;
        if self.spec.evidence == Evidence::Listed {
            self.suspect_since = None;
        }
    }

    /// Notes whether nothing moves there any more, though requests run; true if that
    /// was found just now. The lease holder is told earlier than requests are moved.
    pub fn check_stall(&mut self, now: Timestamp, settings: &RouterSettings) -> bool {
        let is_watched = self.spec.evidence == Evidence::Listed && self.spec.group.is_some();
        if !is_watched || self.in_flight == 0 || self.stalled || self.lost {
            return false;
        }
        // Those that wait for their first output may wait for their turn.
        let (suspicion, patience) = if self.streaming > 0 {
            (1.0, 1.0)
        } else {
            (UNSEEN_SUSPICION, UNSEEN_PATIENCE)
        };
        let stands_for = now.since(self.moved_at);
        if stands_for >= settings.suspect_after.mul_f64(suspicion) {
            self.suspect_since = Some(now);
        }
        self.stalled = stands_for >= settings.stall_after.mul_f64(patience);
        self.stalled
    }

    /// Whether the peak of this work fits beside what runs and what was sent since.
    fn has_kv_room(&self, work: Work) -> bool {
        let Some(report) = self.report.filter(|report| report.load.kv_total > 0) else {
            return true;
        };
        let fill = report.load.kv_total as f64 * KV_FILL;
        let used = (report.load.kv_used as f64 + self.kv_since_report).max(self.kv_in_flight);
        self.in_flight == 0 || used + work.kv_peak <= fill
    }

    /// A request was sent there.
    pub fn on_sent(&mut self, now: Timestamp, work: Work) {
        if self.in_flight == 0 {
            self.moved_at = now;
        }
        self.limit.on_sent();
        self.cooldown.on_sent(now);
        self.in_flight += 1;
        self.kv_in_flight += work.kv_peak;
        self.kv_since_report += work.kv_peak;
    }

    /// A request that was sent there at `sent_at` has ended.
    pub fn on_ended(&mut self, sent_at: Timestamp, work: Work, had_output: bool) {
        self.cooldown.on_ended(sent_at);
        self.streaming = self.streaming.saturating_sub(u32::from(had_output));
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 && self.stalled {
            // Nothing runs there that could show that it moves again: a later
            // request tries, after a while.
            self.stalled = false;
            self.backoff_until = self.backoff_until.max(self.moved_at + STALL_BACKOFF);
        }
        self.kv_in_flight = (self.kv_in_flight - work.kv_peak).max(0.0);
        self.kv_since_report -= work.kv_peak;
    }

    /// Part of the capacity in use: own requests, and the others' by the reports.
    pub fn load(&self, settings: &RouterSettings) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = self.report.filter(|report| report.load.slots > 0) else {
            return own / f64::from(self.own_limit(settings).max(1));
        };
        (own + self.others.unwrap_or_default()) / f64::from(report.load.slots)
    }
}
