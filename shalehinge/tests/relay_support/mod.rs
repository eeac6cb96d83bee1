//! A fleet of daemons before a platform, stepped in one thread, with links that carry so much.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod configuration;
pub mod platform;
pub mod scene;
pub mod upstreams;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use shalehinge::core::daemon::{Daemon, Identity, TICK};
use shalehinge::core::event::{Action, Event, Pull, PullId, PullReply, PullTopic, Timeouts};
use shalehinge::core::named_limit::RequestRate;
use shalehinge::core::platform::{CallId, NoAnswer, PlatformCall};
use shalehinge::core::router::request::Outcome;
use shalehinge::core::types::{
    Address, DaemonId, FailureDomain, FleetVersion, GroupNumber, Incarnation, RequestId, Timestamp,
};
use shalehinge::settings::core::CoreSettings;
use shalehinge::settings::learning::{FeedLayout, LearningSettings};
use shalehinge::utils::http::LARGE_RESPONSE_TIMEOUT;

use self::platform::{Platform, platform_bytes};
pub use self::upstreams::{Arrival, TurnedAway};

const DOMAINS: u16 = 3;
fn settings() -> CoreSettings {
    CoreSettings {
        learning: LearningSettings {
            feeds: FeedLayout::Split,
            stale_watches: true,
            relays: true,
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

/// A call to the platform that is not answered yet.
struct Call {
    daemon: usize,
    until: Duration,
    call: CallId,
    request: PlatformCall,
}

/// An answer on its way to a daemon.
struct Transfer {
    /// The peer that it comes from; the platform's link is never full.
    from: Option<usize>,
    to: usize,
    bytes_left: f64,
    gives_up_at: Duration,
    /// What the daemon is told when the answer is whole, and when it is given up; `None` once
    /// it was told.
    events: Option<(Event, Event)>,
}

/// Bytes of answers, by who gave them.
#[derive(Clone, Copy, Debug, Default)]
pub struct BytesIn {
    pub of_peers: f64,
    pub of_platform: f64,
}

/// Daemons in one thread.
pub struct Fleet {
    pub now: Duration,
    pub platform: Platform,
    pub daemons: Vec<Daemon>,
    pub dead: BTreeSet<usize>,
    /// Daemons that the platform does not answer.
    pub refused: BTreeSet<usize>,
    /// Bytes a second that the link of each daemon carries each way; answers of peers come
    /// at once without.
    pub links: Option<Vec<f64>>,
    /// Bytes of answers that came to each daemon, also of those that it gave up.
    pub bytes_in: Vec<BytesIn>,
    transfers: Vec<Transfer>,
    events: BTreeMap<(Duration, u64), (usize, Event)>,
    next_event: u64,
    pulls: BTreeMap<PullId, (usize, Timestamp, Pull)>,
    calls: Vec<Call>,
    /// What the upstreams of groups in need name.
    pub limits: BTreeMap<GroupNumber, RequestRate>,
    /// What the upstreams of groups that turn all requests away ask for.
    pub cooldowns: BTreeMap<GroupNumber, Duration>,
    /// Attempts that were turned away so, when their daemons heard of it.
    pub turned_away: Vec<TurnedAway>,
    /// Groups whose upstreams say in each answer that they are leaving.
    pub leaving: BTreeSet<GroupNumber>,
    /// Requests that end whole.
    finishing: BTreeSet<RequestId>,
    /// Attempts of those, in the order in which they reached an upstream.
    pub arrivals: Vec<Arrival>,
    /// What became of them.
    pub outcomes: Vec<Outcome>,
    /// Daemons that nobody hears and that hear nobody.
    pub cut_off: BTreeSet<usize>,
    /// Notices that were sent.
    pub notices: usize,
    /// Requests that crash the upstream that runs them.
    crashing: BTreeSet<RequestId>,
    /// Upstreams that crashed so.
    pub crashes: usize,
}

impl Fleet {
    pub fn new(daemons: u16) -> Self {
        Self::start(daemons, true)
    }

    pub fn start(daemons: u16, is_first_start: bool) -> Self {
        let address = |port: u16| -> Address { ([10, 0, 0, 1], port).into() };
        let daemon = |port: u16| {
            let identity = Identity {
                daemon: DaemonId::new(&format!("daemon-{port}")),
                failure_domain: FailureDomain::new(&format!("d{}", port % DOMAINS)),
                address: address(port),
                incarnation: Incarnation(1),
                seeds: (0..3).map(address).collect(),
                is_first_start,
                wall_seconds: 0,
            };
            Daemon::new(settings(), identity, u64::from(port))
        };
        Self {
            now: Duration::from_millis(1),
            platform: Platform::new(),
            daemons: (0..daemons).map(daemon).collect(),
            dead: BTreeSet::new(),
            refused: BTreeSet::new(),
            links: None,
            bytes_in: vec![BytesIn::default(); usize::from(daemons)],
            transfers: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            pulls: BTreeMap::new(),
            calls: Vec::new(),
            limits: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
            turned_away: Vec::new(),
            leaving: BTreeSet::new(),
            finishing: BTreeSet::new(),
            arrivals: Vec::new(),
            outcomes: Vec::new(),
            cut_off: BTreeSet::new(),
            notices: 0,
            crashing: BTreeSet::new(),
            crashes: 0,
        }
    }

    fn later(&mut self, after: Duration, daemon: usize, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), (daemon, event));
    }

    /// Answers of peers take their time from now on: all links carry so many bytes a second.
    pub fn limit_links(&mut self, bytes_per_second: f64) {
        self.links = Some(vec![bytes_per_second; self.daemons.len()]);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            for index in 0..self.daemons.len() {
                self.handle(index, Event::Tick);
            }
            self.now += TICK;
            self.platform.refill(TICK);
            self.answer_calls();
            self.move_transfers();
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (index, event) = entry.remove();
                self.handle(index, event);
            }
        }
    }

    /// Answers the calls whose time came, and watches that something changed for.
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
            let bytes = platform_bytes(&reply);
            let result = Ok(reply);
            let whole = Event::Platform { call, result };
            let result = Err(NoAnswer);
            let lost = Event::Platform { call, result };
            self.begin(None, daemon, bytes, gives_up_at, (whole, lost));
        }
    }

    /// An answer begins its way, or is there at once where links have no limit.
    fn begin(
        &mut self,
        from: Option<usize>,
        to: usize,
        bytes: usize,
        gives_up_at: Duration,
        events: (Event, Event),
    ) {
        if self.links.is_none() {
            self.later(Duration::ZERO, to, events.0);
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

    /// Moves answers on; those that share a link share it evenly.
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
        // Those with the narrowest way in leave what they can't use to the others.
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
            let bytes_in = &mut self.bytes_in[transfer.to];
            match transfer.from {
                Some(_) => bytes_in.of_peers += moved,
                None => bytes_in.of_platform += moved,
            }
        }
        for mut transfer in std::mem::take(&mut self.transfers) {
            let is_whole = transfer.bytes_left <= 0.0;
            let is_late = self.now >= transfer.gives_up_at;
            if (is_whole || is_late)
                && let Some((whole, given_up)) = transfer.events.take()
            {
                let event = if is_whole { whole } else { given_up };
                self.later(Duration::ZERO, transfer.to, event);
            }
            // What is under way fills the link also after it was given up.
            if !is_whole {
                self.transfers.push(transfer);
            }
        }
    }

    fn answer_pull(&mut self, from: usize, pull_id: PullId, reply: PullReply) {
        let (to, asked_at, pull) = self.pulls.remove(&pull_id).expect("asked");
        let bytes = rmp_serde::to_vec(&reply).expect("encodes").len();
        let gives_up_at = asked_at.as_duration() + peer_timeout(&pull);
        let whole = answered(asked_at, &pull, Some(reply));
        let lost = answered(asked_at, &pull, None);
        self.begin(Some(from), to, bytes, gives_up_at, (whole, lost));
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cut_off.contains(&one) != self.cut_off.contains(&other)
    }

    fn handle(&mut self, index: usize, event: Event) {
        if self.dead.contains(&index) {
            return;
        }
        let now = Timestamp::from_duration(self.now);
        let mut actions = Vec::new();
        self.daemons[index].handle(now, event, &mut actions);
        for action in actions {
            self.act(index, now, action);
        }
    }

    fn act(&mut self, index: usize, now: Timestamp, action: Action) {
        match action {
            Action::Platform { call, request } => {
                if self.refused.contains(&index) || self.platform.refuses(&request) {
                    self.platform.calls += 1;
                    let result = Err(NoAnswer);
                    self.later(TICK, index, Event::Platform { call, result });
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
                let is_cut = self.is_cut(index, peer);
                if is_cut || self.dead.contains(&peer) {
                    let event = answered(now, &pull, None);
                    self.later(peer_timeout(&pull), index, event);
                    return;
                }
                self.next_event += 1;
                let pull_id = PullId(self.next_event);
                self.pulls.insert(pull_id, (index, now, pull.clone()));
                self.later(Duration::ZERO, peer, Event::PullAsked { pull_id, pull });
            }
            Action::AnswerPull { pull_id, reply } => self.answer_pull(index, pull_id, reply),
            Action::Send(attempt) => self.run_attempt(index, &attempt),
            Action::CheckUpstream { upstream, .. } => {
                let is_gone = true;
                let event = Event::UpstreamChecked { upstream, is_gone };
                self.later(Duration::ZERO, index, event);
            }
            Action::Notify { to, notice } => {
                let peer = to.port() as usize;
                self.notices += 1;
                if !self.is_cut(index, peer) {
                    self.later(TICK, peer, Event::Noticed(notice));
                }
            }
            Action::Answer { request, outcome } if self.finishing.remove(&request) => {
                self.outcomes.push(outcome);
            }
            _ => {}
        }
    }

    /// The platform is away for so long, and is restored from its copy.
    pub fn restore_platform(&mut self, away: Duration) {
        for Call { daemon, call, .. } in std::mem::take(&mut self.calls) {
            let result = Err(NoAnswer);
            self.later(TICK, daemon, Event::Platform { call, result });
        }
        let refused = self.refused.clone();
        self.refused = (0..self.daemons.len()).collect();
        self.run(away);
        self.refused = refused;
        self.platform.restore();
    }

    /// Daemons that live and do not know the platform's newest list.
    pub fn behind(&self) -> Vec<usize> {
        let newest = self.platform.hosts_version();
        let is_behind = |index: &usize| {
            !self.dead.contains(index)
                && self.daemons[*index].state().hosts_version().number < newest
        };
        (0..self.daemons.len()).filter(is_behind).collect()
    }

    /// Daemons that live and can't route: they lack the configuration or the hosts.
    pub fn cannot_route(&self) -> usize {
        let lacks = |index: &usize| {
            let state = self.daemons[*index].state();
            state.fleet().is_none() || state.hosts().is_none()
        };
        let living = (0..self.daemons.len()).filter(|index| !self.dead.contains(index));
        living.filter(lacks).count()
    }

    /// Daemons that do not have this configuration, or a newer one, in force.
    pub fn without_configuration(&self, version: FleetVersion) -> Vec<usize> {
        let is_behind = |index: &usize| self.daemons[*index].state().fleet_version() < version;
        (0..self.daemons.len()).filter(is_behind).collect()
    }

    pub fn watchers(&self) -> Vec<usize> {
        let now = Timestamp::from_duration(self.now);
        let is_watcher = |index: &usize| {
            let membership = self.daemons[*index].membership();
            membership.is_responsible(now, "watch", 2)
        };
        (0..self.daemons.len()).filter(is_watcher).collect()
    }
}

/// How long an answer of a peer may take.
fn peer_timeout(pull: &Pull) -> Duration {
    match pull.topic {
        PullTopic::WholeObjects => Timeouts::default().peer + LARGE_RESPONSE_TIMEOUT,
        PullTopic::All | PullTopic::Objects | PullTopic::Moving => Timeouts::default().peer,
    }
}

fn answered(asked_at: Timestamp, pull: &Pull, reply: Option<PullReply>) -> Event {
    Event::PullAnswered {
        topic: pull.topic,
        asked_at,
        reply,
    }
}
