//! A fleet of daemons and a simulated platform, stepped in simulated time in one thread, with
//! optional limits of the daemons' link bandwidth.

#![allow(dead_code)] // Each test file uses only some of the items.

pub mod configuration;
mod forwards;
#[path = "../held_writes/mod.rs"]
pub mod held_writes;
pub mod load_simulation;
pub mod platform;
pub mod prompt_parts;
pub mod silences;
#[path = "../silence_support/stream.rs"]
pub mod stream;
pub mod upstreams;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::advertised_limit::RequestRate;
use shalehinge::core::daemon::{Daemon, Identity, TICK};
use shalehinge::core::event::{
    Action, Component, Event, LogLine, Pull, PullId, PullReply, PullTopic, Timeouts,
};
use shalehinge::core::platform::{CallId, NoAnswer, PlatformCall, Scope};
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::{
    Address, DaemonId, FailureDomain, FleetVersion, GroupNumber, Incarnation, RequestId, Timestamp,
};
use shalehinge::settings::core::CoreSettings;
use shalehinge::settings::learning::{FeedLayout, LearningSettings};
use shalehinge::utils::http::LARGE_RESPONSE_TIMEOUT;

use self::forwards::RunningForward;
use self::platform::{Platform, platform_bytes};
use self::silences::CallerStreams;
pub use self::upstreams::{Arrival, RefusedAttempt, UpstreamCut};

/// Number of failure domains, over which the daemons are distributed evenly unless a test names
/// another number.
const DOMAINS: u16 = 3;

/// Settings of all daemons: separate feeds, and host lists relayed between peers.
fn settings() -> CoreSettings {
    CoreSettings {
        learning: LearningSettings {
            feeds: FeedLayout::Split,
            stale_watches: true,
            relays: true,
            evacuations: true,
            era_objects: true,
            watch_wait: Duration::from_millis(700),
            host_wait: Duration::from_millis(600),
            host_spacing: Duration::from_millis(400),
            confirm_after: Duration::from_millis(1_400),
            ask_after: Duration::from_millis(2_400),
            ..LearningSettings::default()
        },
        ..CoreSettings::default()
    }
}

/// A platform call that has not been answered yet.
struct Call {
    daemon: usize,
    /// When the call is answered even if nothing has changed.
    until: Duration,
    call: CallId,
    request: PlatformCall,
}

/// A reply in transfer to a daemon.
struct Transfer {
    /// The peer that sends it; `None` for the platform, whose link is unlimited.
    from: Option<usize>,
    to: usize,
    bytes_left: f64,
    /// When the receiving daemon's time-out expires.
    gives_up_at: Duration,
    /// The events for a complete reply and for a time-out; `None` once one was delivered.
    events: Option<(Event, Event)>,
}

/// Bytes of replies that a daemon received, by their sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct BytesReceived {
    /// From peers.
    pub from_peers: f64,
    /// From the platform.
    pub from_platform: f64,
}

/// A simulated fleet. Daemons are identified by their index.
pub struct Fleet {
    /// Simulated time since the start.
    pub now: Duration,
    /// The simulated platform.
    pub platform: Platform,
    /// All daemons, including those that were stopped.
    pub daemons: Vec<Daemon>,
    /// Daemons that no longer run.
    pub dead: BTreeSet<usize>,
    /// Daemons whose platform calls all fail.
    pub refused: BTreeSet<usize>,
    /// Bandwidth of each daemon's link per direction, in bytes per second. `None` delivers replies
    /// at once.
    pub links: Option<Vec<f64>>,
    /// Bytes of replies received by each daemon, including replies that timed out.
    pub bytes_received: Vec<BytesReceived>,
    transfers: Vec<Transfer>,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    next_event: u64,
    pulls: BTreeMap<PullId, (usize, Timestamp, Pull)>,
    calls: Vec<Call>,
    /// Request rates that the upstreams of overloaded groups name in their responses.
    pub limits: BTreeMap<GroupNumber, RequestRate>,
    /// Cooldowns that the upstreams of groups ask for while they refuse all requests.
    pub cooldowns: BTreeMap<GroupNumber, Duration>,
    /// Attempts refused with a cooldown.
    pub refused_attempts: Vec<RefusedAttempt>,
    /// Groups whose upstreams mark each response as coming from a leaving upstream.
    pub leaving: BTreeSet<GroupNumber>,
    /// Number of the failure domain whose daemons and upstreams are cut off from all others.
    pub cut_domain: Option<u64>,
    /// Requests that complete and have not been answered yet, with the time of each.
    completing: BTreeMap<RequestId, Duration>,
    /// Requests that daemons handed to peers, by their id at the peer.
    forwards: BTreeMap<RequestId, RunningForward>,
    /// Number of requests that daemons handed to peers.
    pub forwarded: usize,
    /// Attempts of requests that complete, in the order in which they reached an upstream.
    pub arrivals: Vec<Arrival>,
    /// Outcomes of requests that complete.
    pub outcomes: Vec<Outcome>,
    /// Times from these requests to their outcomes.
    pub answer_times: Vec<Duration>,
    /// When these requests were sent.
    pub sent_at: Vec<Duration>,
    /// Indexes of the daemons that received these requests.
    pub answered_by: Vec<usize>,
    /// Daemons that reach no upstream, and how their connections fail.
    pub cut_from_upstreams: BTreeMap<usize, UpstreamCut>,
    /// Daemons that exchange no messages with the daemons outside this set.
    pub partitioned: BTreeSet<usize>,
    /// Pairs of daemons that exchange no messages with each other, the lower index first.
    pub cut_pairs: BTreeSet<(usize, usize)>,
    /// Number of notices sent.
    pub notices: usize,
    /// Requests that crash the upstream that runs them.
    crashing: BTreeSet<RequestId>,
    /// Number of upstream crashes caused by these requests.
    pub crashes: usize,
    /// These crashes, in their order.
    pub crash_log: Vec<prompt_parts::Crash>,
    /// When the platform last replied to a call for the host list.
    pub last_host_reply_at: Duration,
    /// Number of failure domains of the daemons.
    domains: u16,
    /// Seed of the daemons' random draws.
    seed: u64,
    /// Daemons that are paused, with the events that wait for each.
    paused: BTreeMap<usize, Vec<Event>>,
    /// Streams at groups that may be silent.
    pub streams: CallerStreams,
    /// Lines that daemons logged on the platform and the lease, while late writes are simulated.
    pub lines: Vec<String>,
}

impl Fleet {
    /// A fleet that starts for the first time.
    pub fn new(daemons: u16) -> Self {
        Self::start(daemons, true)
    }

    /// A fleet of `daemons` daemons that have just started.
    pub fn start(daemons: u16, is_first_start: bool) -> Self {
        Self::start_in_domains(daemons, DOMAINS, is_first_start)
    }

    /// Like [`Self::start`], with this number of failure domains.
    pub fn start_in_domains(daemons: u16, domains: u16, is_first_start: bool) -> Self {
        Self::start_with_seed(daemons, domains, is_first_start, 0)
    }

    /// Like [`Self::start_in_domains`], with other random draws for each seed.
    pub fn start_with_seed(daemons: u16, domains: u16, is_first_start: bool, seed: u64) -> Self {
        let daemon = |port: u16| new_daemon(port, domains, Incarnation(1), is_first_start, seed);
        Self {
            now: Duration::from_millis(1),
            platform: Platform::new(),
            daemons: (0..daemons).map(daemon).collect(),
            dead: BTreeSet::new(),
            refused: BTreeSet::new(),
            links: None,
            bytes_received: vec![BytesReceived::default(); usize::from(daemons)],
            transfers: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            pulls: BTreeMap::new(),
            calls: Vec::new(),
            limits: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
            refused_attempts: Vec::new(),
            leaving: BTreeSet::new(),
            cut_domain: None,
            completing: BTreeMap::new(),
            answer_times: Vec::new(),
            sent_at: Vec::new(),
            answered_by: Vec::new(),
            cut_from_upstreams: BTreeMap::new(),
            forwards: BTreeMap::new(),
            forwarded: 0,
            arrivals: Vec::new(),
            outcomes: Vec::new(),
            partitioned: BTreeSet::new(),
            cut_pairs: BTreeSet::new(),
            notices: 0,
            crashing: BTreeSet::new(),
            crashes: 0,
            crash_log: Vec::new(),
            last_host_reply_at: Duration::ZERO,
            domains,
            seed,
            paused: BTreeMap::new(),
            streams: CallerStreams::default(),
            lines: Vec::new(),
        }
    }

    /// Pauses a daemon; its clock advances and its events wait.
    pub fn pause(&mut self, index: usize) {
        self.paused.entry(index).or_default();
    }

    /// Resumes a paused daemon, which then handles the events that wait.
    pub fn resume(&mut self, index: usize) {
        for event in self.paused.remove(&index).unwrap_or_default() {
            self.handle(index, event);
        }
    }

    /// Restarts daemons, which forget everything.
    pub fn restart(&mut self, indexes: std::ops::Range<u16>) {
        for index in indexes {
            let daemon = usize::from(index);
            self.calls.retain(|call| call.daemon != daemon);
            self.events.retain(|_, (to, _)| *to != daemon);
            self.daemons[daemon] =
                new_daemon(index, self.domains, Incarnation(2), false, self.seed);
        }
    }

    /// Delivers an event to a daemon after a delay.
    fn schedule(&mut self, after: Duration, daemon: usize, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), (daemon, event));
    }

    /// Limits the bandwidth of all daemons' links from now on, per direction.
    pub fn limit_links(&mut self, bytes_per_second: f64) {
        self.links = Some(vec![bytes_per_second; self.daemons.len()]);
    }

    /// Steps the fleet for `span` of simulated time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for index in 0..self.daemons.len() {
                self.handle(index, Event::Tick);
            }
            self.now += TICK;
            self.platform.refill(TICK);
            self.platform.carry_out_late_writes(self.now);
            self.answer_calls();
            self.move_transfers();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (index, event) = entry.remove();
                self.handle(index, event);
            }
            self.produce_events();
        }
    }

    /// Answers calls that are due, and watches that a change has completed.
    fn answer_calls(&mut self) {
        let is_due =
            |call: &Call| self.platform.has_news_for(&call.request) || self.now >= call.until;
        let calls = std::mem::take(&mut self.calls);
        let (due, waiting): (Vec<Call>, Vec<Call>) = calls.into_iter().partition(is_due);
        self.calls = waiting;
        for Call {
            daemon,
            call,
            request,
            ..
        } in due
        {
            let gives_up_at = self.now + Timeouts::default().platform;
            let reply = self.platform.answer(&request);
            if asks_for_hosts(&request) {
                self.last_host_reply_at = self.now;
            }
            self.platform.trace_write(&sender(daemon), &request, &reply);
            let bytes = platform_bytes(&reply);
            let result = Ok(reply);
            let whole = Event::Platform { call, result };
            let result = Err(NoAnswer);
            let lost = Event::Platform { call, result };
            self.begin_transfer(None, daemon, bytes, gives_up_at, (whole, lost));
        }
    }

    /// Starts the transfer of a reply, or delivers it at once if links are unlimited. `events` are
    /// those for a complete reply and for a time-out.
    fn begin_transfer(
        &mut self,
        from: Option<usize>,
        to: usize,
        bytes: usize,
        gives_up_at: Duration,
        events: (Event, Event),
    ) {
        if self.links.is_none() {
            self.schedule(Duration::ZERO, to, events.0);
            return;
        }
        self.transfers.push(Transfer {
            from,
            to,
            bytes_left: bytes as f64,
            gives_up_at,
            events: Some(events),
        });
    }

    /// Advances all transfers by one tick. Transfers over the same link share it evenly.
    fn move_transfers(&mut self) {
        let Some(links) = &self.links else {
            return;
        };
        let mut coming = vec![0.0; links.len()];
        let mut leaving = vec![0.0; links.len()];
        for transfer in &self.transfers {
            coming[transfer.to] += 1.0;
            if let Some(from) = transfer.from {
                leaving[from] += 1.0;
            }
        }
        let mut room = links.clone();
        let share = |transfer: &Transfer| links[transfer.to] / coming[transfer.to];
        // Transfers with the smallest incoming share go first, and leave the bandwidth of the
        // sender's link that they can't use to the others.
        self.transfers
            .sort_by(|one, other| share(one).total_cmp(&share(other)));
        for transfer in &mut self.transfers {
            let mut rate = share(transfer);
            if let Some(from) = transfer.from {
                rate = rate.min(room[from] / leaving[from]);
                room[from] -= rate;
                leaving[from] -= 1.0;
            }
            let moved = (rate * TICK.as_secs_f64()).min(transfer.bytes_left);
            transfer.bytes_left -= moved;
            let bytes_received = &mut self.bytes_received[transfer.to];
            match transfer.from {
                Some(_) => bytes_received.from_peers += moved,
                None => bytes_received.from_platform += moved,
            }
        }
        for mut transfer in std::mem::take(&mut self.transfers) {
            let is_whole = transfer.bytes_left <= 0.0;
            let is_late = self.now >= transfer.gives_up_at;
            if (is_whole || is_late)
                && let Some((whole, given_up)) = transfer.events.take()
            {
                let event = if is_whole { whole } else { given_up };
                self.schedule(Duration::ZERO, transfer.to, event);
            }
            // A reply that timed out still uses bandwidth until it is transferred.
            if !is_whole {
                self.transfers.push(transfer);
            }
        }
    }

    fn answer_pull(&mut self, from: usize, pull_id: PullId, reply: PullReply) {
        let (to, asked_at, pull) = self.pulls.remove(&pull_id).expect("asked");
        let bytes = rmp_serde::to_vec(&reply).expect("encodes").len();
        let gives_up_at = asked_at.as_duration() + peer_timeout(&pull);
        let whole = pull_answered(asked_at, &pull, Some(reply));
        let lost = pull_answered(asked_at, &pull, None);
        self.begin_transfer(Some(from), to, bytes, gives_up_at, (whole, lost));
    }

    /// Whether two daemons can't exchange messages.
    fn is_partitioned(&self, one: usize, other: usize) -> bool {
        let pair = (one.min(other), one.max(other));
        self.partitioned.contains(&one) != self.partitioned.contains(&other)
            || self.cut_pairs.contains(&pair)
    }

    fn handle(&mut self, index: usize, event: Event) {
        if self.dead.contains(&index) {
            return;
        }
        if let Some(waiting) = self.paused.get_mut(&index) {
            if event != Event::Tick {
                waiting.push(event);
            }
            return;
        }
        let now = Timestamp::from_duration(self.now);
        let mut actions = Vec::new();
        self.daemons[index].handle(now, event, &mut actions);
        for action in actions {
            self.perform(index, now, action);
        }
    }

    /// Carries out an action of a daemon.
    fn perform(&mut self, index: usize, now: Timestamp, action: Action) {
        match action {
            Action::Platform { call, request } => {
                let is_unreachable = self.platform.is_away || self.refused.contains(&index);
                if is_unreachable || self.platform.refuses(&request) {
                    self.platform.calls += 1;
                    let result = Err(NoAnswer);
                    self.schedule(TICK, index, Event::Platform { call, result });
                    return;
                }
                if self.platform.holds(&sender(index), &request) {
                    self.platform.calls += 1;
                    let event = Event::Platform {
                        call,
                        result: Err(NoAnswer),
                    };
                    self.schedule(Timeouts::default().platform, index, event);
                    return;
                }
                self.calls.push(Call {
                    daemon: index,
                    until: self.now + self.platform.wait(&request),
                    call,
                    request,
                });
            }
            Action::Pull { to, pull } => {
                let peer = to.port() as usize;
                let is_partitioned = self.is_partitioned(index, peer);
                if is_partitioned || self.dead.contains(&peer) {
                    let event = pull_answered(now, &pull, None);
                    self.schedule(peer_timeout(&pull), index, event);
                    return;
                }
                self.next_event += 1;
                let pull_id = PullId(self.next_event);
                self.pulls.insert(pull_id, (index, now, pull.clone()));
                self.schedule(Duration::ZERO, peer, Event::PullReceived { pull_id, pull });
            }
            Action::AnswerPull { pull_id, reply } => self.answer_pull(index, pull_id, reply),
            Action::Send(attempt) => self.run_attempt(index, &attempt),
            Action::CheckUpstream { upstream, .. } => {
                let cut = self.cut_from_upstreams.get(&index);
                let is_gone = cut.is_none_or(|cut| cut.refuses_connections());
                let event = Event::UpstreamChecked { upstream, is_gone };
                self.schedule(Duration::ZERO, index, event);
            }
            Action::Notify { to, notice } => {
                let peer = to.port() as usize;
                self.notices += 1;
                if !self.is_partitioned(index, peer) {
                    self.schedule(TICK, peer, Event::NoticeReceived(notice));
                }
            }
            Action::Forward(forward) => self.forward(index, forward),
            Action::CancelAttempt(attempt) => {
                self.cancel_forward(attempt);
                self.abandon_stream_attempt(index, attempt);
            }
            Action::ProbeUpstream { upstream, .. } => self.probe(index, upstream),
            Action::Answer { request, outcome } => {
                self.answer_forward(request, outcome);
                self.answer_stream(request, outcome);
                if let Some(since) = self.completing.remove(&request) {
                    self.outcomes.push(outcome);
                    self.answer_times.push(self.now - since);
                    self.sent_at.push(since);
                    self.answered_by.push(index);
                }
            }
            Action::Log(line) => self.record_line(index, &line),
            _ => {}
        }
    }

    fn record_line(&mut self, index: usize, line: &LogLine) {
        let is_recorded = matches!(line.component, Component::Platform | Component::Lease);
        if self.platform.late_writes.is_none() || !is_recorded {
            return;
        }
        let line = format!(
            "{:9.3} {} logs: {}",
            self.now.as_secs_f64(),
            sender(index),
            line.text
        );
        self.lines.push(line);
    }

    /// Makes the platform unavailable; calls that are waiting get no answer.
    pub fn take_platform_away(&mut self) {
        for waiting in std::mem::take(&mut self.calls) {
            let Call {
                daemon,
                call,
                request,
                ..
            } = waiting;
            self.platform.holds(&sender(daemon), &request);
            let result = Err(NoAnswer);
            self.schedule(TICK, daemon, Event::Platform { call, result });
        }
        self.platform.is_away = true;
    }

    /// Makes the platform available again, restored from its backup.
    pub fn bring_platform_back(&mut self) {
        self.platform.is_away = false;
        self.platform.restore();
    }

    /// Makes the platform unavailable for `away`, then restores it from its backup.
    pub fn restore_platform(&mut self, away: Duration) {
        self.take_platform_away();
        self.run(away);
        self.bring_platform_back();
    }

    /// Live daemons that don't know the platform's newest host list.
    pub fn daemons_behind(&self) -> Vec<usize> {
        let newest = self.platform.hosts_version();
        let is_behind = |index: &usize| {
            !self.dead.contains(index)
                && self.daemons[*index].state().hosts_version().number < newest
        };
        (0..self.daemons.len()).filter(is_behind).collect()
    }

    /// Number of live daemons that can't route, as they lack a configuration or a host list.
    pub fn daemons_that_cannot_route(&self) -> usize {
        let lacks = |index: &usize| {
            let state = self.daemons[*index].state();
            state.fleet().is_none() || state.hosts().is_none()
        };
        let living = (0..self.daemons.len()).filter(|index| !self.dead.contains(index));
        living.filter(lacks).count()
    }

    /// Daemons that have an older configuration than `version` in force.
    pub fn daemons_without_configuration(&self, version: FleetVersion) -> Vec<usize> {
        let is_behind = |index: &usize| self.daemons[*index].state().fleet_version() < version;
        (0..self.daemons.len()).filter(is_behind).collect()
    }

    /// The watchers of all failure domains, including dead ones.
    pub fn watchers(&self) -> Vec<usize> {
        let now = Timestamp::from_duration(self.now);
        let is_watcher = |index: &usize| {
            let membership = self.daemons[*index].membership();
            membership.is_responsible(now, "watch", 2)
        };
        (0..self.daemons.len()).filter(is_watcher).collect()
    }
}

/// Distance between the seeds of a daemon in two fleets; more than the number of daemons.
const SEED_STRIDE: u64 = 1 << 16;

fn new_daemon(
    port: u16,
    domains: u16,
    incarnation: Incarnation,
    is_first_start: bool,
    seed: u64,
) -> Daemon {
    let address = |port: u16| -> Address { ([10, 0, 0, 1], port).into() };
    let identity = Identity {
        daemon: DaemonId::new(&format!("daemon-{port}")),
        failure_domain: FailureDomain::new(&format!("d{}", port % domains)),
        address: address(port),
        incarnation,
        seeds: (0..3).map(address).collect(),
        is_first_start,
        wall_seconds: 0,
    };
    let seed = u64::from(port) + seed * SEED_STRIDE;
    Daemon::new(settings(), identity, seed)
}

/// Whether a call lists or watches the host list.
fn asks_for_hosts(request: &PlatformCall) -> bool {
    let scope = match request {
        PlatformCall::List { scope, .. } | PlatformCall::Watch { scope, .. } => *scope,
        _ => return false,
    };
    scope == Scope::Hosts
}

/// Name of a daemon as the sender of calls.
fn sender(index: usize) -> String {
    format!("daemon-{index}")
}

/// Time-out of a pull.
fn peer_timeout(pull: &Pull) -> Duration {
    match pull.topic {
        PullTopic::WholeObjects => Timeouts::default().peer + LARGE_RESPONSE_TIMEOUT,
        PullTopic::All | PullTopic::Objects | PullTopic::Moving => Timeouts::default().peer,
    }
}

/// The event of a pull's reply, or of its time-out if `reply` is `None`.
fn pull_answered(asked_at: Timestamp, pull: &Pull, reply: Option<PullReply>) -> Event {
    Event::PullAnswered {
        topic: pull.topic,
        asked_at,
        reply,
    }
}
