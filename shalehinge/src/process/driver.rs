//! Passes events to the core and executes the actions it returns.
//!
//! The core is protected by one lock. Actions are started while the lock is held, so that
//! they start in the order in which the core decided them. Each action then runs as its own
//! task and reports its result as an event.

use std::collections::HashMap;
use std::hash::Hash;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use trillium_client::Client;

use super::core_cell::{Core, CoreCell, CoreSection, install_panic_hook};
use super::peer_traffic::PeerTraffic;
use super::pending_requests::{CallerMessage, PendingRequests};
use crate::core::daemon::Daemon;
use crate::core::engine::NoStatus;
use crate::core::event::{Action, Event, Pull, PullId, PullReply, StatusPurpose};
use crate::core::forward::{Forward, ForwardEnd, ForwardedMeta};
use crate::core::operator::{OperatorAnswer, OperatorCall, OperatorCallId};
use crate::core::platform::{CallId, NoAnswer, PlatformCall, PlatformReply};
use crate::core::route_config::CallerLimits;
use crate::core::router::request::{Attempt, AttemptEnd, NotRunReason, Outcome, RequestMeta};
use crate::core::signal::UpstreamSignal;
use crate::core::types::{Address, AttemptId, HostId, RequestId, Timestamp};
use crate::object_api::PlatformClient;
use crate::peer::client::PeerClient;
use crate::telemetry::logs;
use crate::telemetry::metrics::{Counter, Metrics};
use crate::upstream::EngineClient;
use crate::upstream::attempt::{self, OutgoingRequest, ResponsePart, ResponseSink};
use crate::upstream::connection_check;
use crate::utils::clock::Clock;
use crate::utils::http::attempt_client;
use crate::utils::memory_budget::{MemoryBudget, ResponseMemory};
use crate::utils::response_bounds;
use crate::utils::task::{spawn, unless_panics};
use crate::utils::time::with_timeout;

/// Clients for everything that the daemon calls, except upstreams of callers' requests.
pub struct Clients {
    /// Client for the platform's object store.
    pub platform: Box<dyn PlatformClient>,
    /// Client for engine statuses and orders.
    pub engines: Box<dyn EngineClient>,
    /// Client for the other daemons.
    pub peers: PeerClient,
}

/// The core together with the clients, tasks and channels that its actions need.
pub struct Driver {
    core: CoreCell,
    clock: Clock,
    clients: Clients,
    upstream_client: Client,
    pending_requests: PendingRequests,
    attempts: Mutex<HashMap<AttemptId, smol::Task<()>>>,
    operator_calls: PendingReplies<OperatorCallId, OperatorAnswer>,
    peer_pulls: PendingReplies<PullId, PullReply>,
    next_id: AtomicU64,
    peer_traffic: PeerTraffic,
    /// Limits of the fleet's configuration at the last tick.
    caller_limits: Mutex<Option<CallerLimits>>,
    /// Metrics of this daemon.
    pub metrics: Metrics,
    /// Budget for the bytes that are held for callers and upstreams.
    pub memory: MemoryBudget,
    stop_sender: Sender<()>,
}

/// Tasks that each wait for a single reply, by call id.
struct PendingReplies<K, V>(Mutex<HashMap<K, Sender<V>>>);

impl<K: Hash + Eq, V> PendingReplies<K, V> {
    fn new() -> Self {
        Self(Mutex::new(HashMap::new()))
    }

    fn add(&self, key: K) -> Receiver<V> {
        let (sender, receiver) = async_channel::bounded(1);
        lock(&self.0).insert(key, sender);
        receiver
    }

    fn resolve(&self, key: &K, value: V) {
        if let Some(sender) = lock(&self.0).remove(key) {
            let _ = sender.try_send(value);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Driver {
    /// Creates a driver and a channel that receives a message when the core has stopped. From now
    /// on, a panic of a core ends the process.
    pub fn new(
        core: Box<dyn Core>,
        clients: Clients,
        metrics: Metrics,
        memory: MemoryBudget,
    ) -> (Arc<Self>, Receiver<()>) {
        install_panic_hook();
        let (stop_sender, stop_receiver) = async_channel::bounded(1);
        let driver = Self {
            core: CoreCell::new(core),
            clock: Clock::start(),
            clients,
            upstream_client: attempt_client(),
            pending_requests: PendingRequests::default(),
            attempts: Mutex::new(HashMap::new()),
            operator_calls: PendingReplies::new(),
            peer_pulls: PendingReplies::new(),
            next_id: AtomicU64::new(1),
            peer_traffic: PeerTraffic::default(),
            caller_limits: Mutex::new(None),
            metrics,
            memory,
            stop_sender,
        };
        (Arc::new(driver), stop_receiver)
    }

    /// Current time of the core: the time since the driver was created.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_duration(self.clock.elapsed())
    }

    /// Calls a function with the current time and the core, while holding the core's lock.
    pub fn read<T>(&self, inspect: impl FnOnce(Timestamp, &Daemon) -> T) -> T {
        let now = self.now();
        inspect(now, self.core.lock().daemon())
    }

    /// Whether the daemon should receive new requests. Takes no lock.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready(self.now())
    }

    /// Time of the core's last tick, in milliseconds of the core's time. Takes no lock.
    pub fn last_tick_ms(&self) -> u64 {
        self.core.last_tick_ms()
    }

    /// Limits on callers' requests of the fleet's configuration. Doesn't wait for the core.
    pub fn caller_limits(&self) -> Option<CallerLimits> {
        *lock(&self.caller_limits)
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Passes an event to the core and starts the actions that it returns.
    pub fn dispatch(self: &Arc<Self>, event: Event) {
        self.dispatch_and_read(event, |_| ());
    }

    /// Like [`Self::dispatch`], and then calls a function with the core before other events are
    /// handled.
    fn dispatch_and_read<T>(
        self: &Arc<Self>,
        event: Event,
        inspect: impl FnOnce(&Daemon) -> T,
    ) -> T {
        let mut core = self.core.lock();
        for action in core.handle(self.now(), event) {
            self.execute(action);
        }
        inspect(core.daemon())
    }

    /// Passes a tick to the core. `late_by` is the time since the tick was due. A panic ends the
    /// process, also outside of the core: without ticks, the core would make no progress.
    pub fn tick(self: &Arc<Self>, late_by: Duration) {
        let _section = CoreSection::enter();
        self.metrics.record_tick_lateness(late_by);
        self.metrics.record_memory(self.memory.usage());
        if let Some(line) = self.peer_traffic.tick(self.now(), late_by) {
            log::info!(target: "shalehinge", "peers: {line}");
        }
        let over_bound = response_bounds::take_exceeded();
        if over_bound > 0 {
            self.metrics.add(Counter::ResponsesOverBound, over_bound);
        }
        let caller_limits = self.dispatch_and_read(Event::Tick, |core| core.routes().limits());
        *lock(&self.caller_limits) = caller_limits;
        self.core.record_tick(self.now());
    }

    /// Submits a caller's request and returns its id and the channel that delivers its response.
    pub fn submit(
        self: &Arc<Self>,
        meta: RequestMeta,
        outgoing: OutgoingRequest,
    ) -> (RequestId, Receiver<CallerMessage>) {
        let request = RequestId(self.next_id());
        let parts = self.pending_requests.add(request, outgoing);
        self.metrics.count(Counter::Requests);
        self.dispatch(Event::Request { request, meta });
        (request, parts)
    }

    /// Submits a request that a peer handed to this daemon, and returns its id and the channel that
    /// delivers its response.
    pub fn submit_forwarded(
        self: &Arc<Self>,
        meta: ForwardedMeta,
        outgoing: OutgoingRequest,
    ) -> (RequestId, Receiver<CallerMessage>) {
        let request = RequestId(self.next_id());
        let parts = self.pending_requests.add(request, outgoing);
        self.metrics.count(Counter::ForwardsReceived);
        self.dispatch(Event::ForwardReceived { request, meta });
        (request, parts)
    }

    /// Executes an operator call. Returns `None` if the call was dropped without an answer.
    pub async fn execute_operator_call(
        self: &Arc<Self>,
        call: OperatorCall,
    ) -> Option<OperatorAnswer> {
        let call_id = OperatorCallId(self.next_id());
        let answer = self.operator_calls.add(call_id);
        self.dispatch(Event::Operator { call_id, call });
        answer.recv().await.ok()
    }

    /// Answers a peer's pull. Returns `None` if the pull was dropped without a reply.
    pub async fn answer_pull(self: &Arc<Self>, pull: Pull) -> Option<PullReply> {
        let pull_id = PullId(self.next_id());
        let reply = self.peer_pulls.add(pull_id);
        self.dispatch(Event::PullReceived { pull_id, pull });
        reply.recv().await.ok()
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Platform { call, request } => self.call_platform(call, request),
            Action::Pull { to, pull } => self.pull(to, pull),
            Action::AnswerPull { pull_id, reply } => self.peer_pulls.resolve(&pull_id, reply),
            Action::Notify { to, notice } => {
                self.metrics.count(Counter::Notices);
                self.spawn(|driver| async move {
                    driver.clients.peers.notify(to, &notice).await;
                });
            }
            Action::RequestStatus {
                purpose,
                host,
                address,
            } => self.request_status(purpose, host, address),
            Action::Order {
                host,
                address,
                order,
                valid_until,
            } => self.send_order(host, address, order, valid_until),
            Action::Send(attempt) => self.start_attempt(attempt),
            Action::Forward(forward) => self.start_forward(forward),
            Action::CancelAttempt(attempt) => {
                // Dropping the task closes the connection.
                lock(&self.attempts).remove(&attempt);
            }
            Action::CheckUpstream { upstream, address } => {
                self.spawn(|driver| async move {
                    let check = connection_check::refuses_connections(address);
                    let is_gone = driver.unless_panics("connection check", check).await;
                    let is_gone = is_gone.unwrap_or(false);
                    driver.dispatch(Event::UpstreamChecked { upstream, is_gone });
                });
            }
            Action::ProbeUpstream { upstream, address } => {
                self.spawn(|driver| async move {
                    let probe = connection_check::accepts_connections(address);
                    let is_reachable = driver.unless_panics("connection probe", probe).await;
                    let is_reachable = is_reachable.unwrap_or(false);
                    driver.dispatch(Event::UpstreamProbed {
                        upstream,
                        is_reachable,
                    });
                });
            }
            Action::Answer { request, outcome } => self.finish_request(request, outcome),
            Action::AnswerOperator { call_id, answer } => {
                self.operator_calls.resolve(&call_id, answer);
            }
            Action::Count(event) => self.metrics.count(Counter::of(event)),
            Action::Log(line) => logs::write(&line),
            Action::Stopped => {
                let _ = self.stop_sender.try_send(());
            }
        }
    }

    fn spawn<F>(self: &Arc<Self>, task: impl FnOnce(Arc<Self>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        spawn(task(self.clone())).detach();
    }

    /// Like [`unless_panics`], and counts panics: the core waits for the result of each call.
    async fn unless_panics<T>(&self, name: &str, work: impl Future<Output = T>) -> Option<T> {
        let result = unless_panics(name, work).await;
        if result.is_none() {
            self.metrics.count(Counter::TaskPanics);
        }
        result
    }

    fn call_platform(self: &Arc<Self>, call: CallId, request: PlatformCall) {
        self.metrics.count(match &request {
            PlatformCall::Get { .. } | PlatformCall::List { .. } => Counter::PlatformReads,
            PlatformCall::Put { .. } | PlatformCall::Delete { .. } => Counter::PlatformWrites,
            PlatformCall::Watch { .. } => Counter::PlatformWatches,
        });
        self.spawn(|driver| async move {
            let call_platform = async { driver.clients.platform.call(request).await };
            let result = driver.unless_panics("call to the platform", call_platform);
            let result = result.await.unwrap_or(Err(NoAnswer));
            if result == Err(NoAnswer) {
                driver.metrics.count(Counter::PlatformNoAnswer);
            }
            let rejected = driver.clients.platform.take_rejected_entries();
            if rejected > 0 {
                driver
                    .metrics
                    .add(Counter::PlatformEntriesRejected, rejected);
            }
            if matches!(result, Ok(PlatformReply::HistoryGone(_))) {
                driver.metrics.count(Counter::PlatformHistoryGone);
            }
            driver.dispatch(Event::Platform { call, result });
        });
    }

    fn pull(self: &Arc<Self>, to: Address, pull: Pull) {
        let (asked_at, topic) = (self.now(), pull.topic);
        self.peer_traffic.record_sent(topic, &self.metrics);
        self.spawn(move |driver| async move {
            let pull_from_peer = async { driver.clients.peers.pull(to, &pull).await };
            let pulled = driver.unless_panics("pull from a peer", pull_from_peer);
            let pulled = pulled.await.flatten();
            let bytes = pulled.as_ref().map(|pulled| pulled.bytes);
            driver
                .peer_traffic
                .record_end(topic, bytes, &driver.metrics);
            let reply = pulled.map(|pulled| pulled.reply);
            driver.dispatch(Event::PullAnswered {
                topic,
                asked_at,
                reply,
            });
        });
    }

    fn request_status(
        self: &Arc<Self>,
        purpose: StatusPurpose,
        host: Option<HostId>,
        address: Address,
    ) {
        self.metrics.count(Counter::Statuses);
        let asked_at = self.now();
        self.spawn(|driver| async move {
            let engines = &driver.clients.engines;
            let request_status = async { engines.status(host.clone(), address).await };
            let status = driver.unless_panics("status request", request_status);
            let status = status.await.unwrap_or(Err(NoStatus::Unanswered));
            driver.dispatch(Event::Status {
                purpose,
                asked_at,
                host,
                status,
            });
        });
    }

    fn send_order(
        self: &Arc<Self>,
        host: HostId,
        address: Address,
        order: crate::core::engine::Order,
        valid_until: Timestamp,
    ) {
        self.metrics.count(Counter::Orders);
        self.spawn(|driver| async move {
            // Last check of the lease before the order is sent.
            let asked_at = driver.now();
            if asked_at >= valid_until {
                return;
            }
            let engines = &driver.clients.engines;
            let send_order = async { engines.order(host.clone(), address, order.clone()).await };
            let reply = driver.unless_panics("order", send_order).await.flatten();
            driver.dispatch(Event::OrderAnswered {
                host,
                order,
                asked_at,
                reply,
            });
        });
    }

    fn start_attempt(self: &Arc<Self>, attempt: Attempt) {
        let Some(pending) = self.pending_requests.get(attempt.request) else {
            return;
        };
        self.metrics.count(Counter::Attempts);
        if attempt.is_hedge {
            self.metrics.count(Counter::Hedges);
        }
        let id = attempt.id;
        let driver = self.clone();
        // Held until the task is registered, because a task that finishes immediately must
        // find its own entry.
        let mut attempts = lock(&self.attempts);
        let task = spawn(async move {
            let sink = CallerSink::new(&driver, attempt.request, attempt.id, pending.parts);
            // Last check of the upstream's validity before the request is sent.
            let end = if driver.now() < attempt.valid_until {
                let client = &driver.upstream_client;
                let run = async { attempt::run(client, &attempt, &pending.outgoing, &sink).await };
                let end = driver.unless_panics("attempt", run).await;
                end.unwrap_or(AttemptEnd::Lost)
            } else {
                AttemptEnd::NotSent
            };
            if let Some(task) = lock(&driver.attempts).remove(&attempt.id) {
                task.detach();
            }
            if end == AttemptEnd::Lost {
                driver.metrics.count(Counter::AttemptsLost);
            }
            driver.dispatch(Event::AttemptEnded {
                request: attempt.request,
                attempt: attempt.id,
                end,
            });
        });
        attempts.insert(id, task);
    }

    fn start_forward(self: &Arc<Self>, forward: Forward) {
        let Some(pending) = self.pending_requests.get(forward.request) else {
            return;
        };
        self.metrics.count(Counter::Forwards);
        let id = forward.attempt;
        let driver = self.clone();
        // Held until the task is registered, as in `start_attempt`.
        let mut attempts = lock(&self.attempts);
        let task = spawn(async move {
            let Forward {
                request, attempt, ..
            } = forward;
            let sink = CallerSink::new(&driver, request, attempt, pending.parts);
            let peers = &driver.clients.peers;
            let run = async { peers.forward(&forward, &pending.outgoing, &sink).await };
            let end = driver.unless_panics("forwarded attempt", run).await;
            let end = end.unwrap_or(ForwardEnd::Lost);
            if let Some(task) = lock(&driver.attempts).remove(&attempt) {
                task.detach();
            }
            driver.dispatch(Event::ForwardEnded {
                request,
                attempt,
                end,
            });
        });
        attempts.insert(id, task);
    }

    fn finish_request(&self, request: RequestId, outcome: Outcome) {
        if let Outcome::NotRun {
            reason: NotRunReason::Quarantined,
            ..
        } = outcome
        {
            self.metrics.count(Counter::Quarantined);
        }
        self.metrics.count(match outcome {
            Outcome::Completed => Counter::Completed,
            Outcome::Failed { .. } => Counter::Failed,
            Outcome::NotRun { .. } => Counter::NotRun,
            Outcome::Unknown { .. } => Counter::Unknown,
        });
        self.pending_requests.complete(request, outcome);
    }
}

/// Passes response parts of one attempt to the caller's task and reports output to the core.
struct CallerSink {
    driver: Arc<Driver>,
    request: RequestId,
    attempt: AttemptId,
    parts: Sender<CallerMessage>,
    /// Memory of the attempt's response.
    memory: ResponseMemory,
    /// Time of the last report of output to the core, in milliseconds of the core's time;
    /// 0 before the first report.
    reported_at_ms: AtomicU64,
}

/// Minimum time between two reports of further output of one attempt, in milliseconds.
const PROGRESS_INTERVAL_MS: u64 = 100;

impl CallerSink {
    fn new(
        driver: &Arc<Driver>,
        request: RequestId,
        attempt: AttemptId,
        parts: Sender<CallerMessage>,
    ) -> Self {
        Self {
            driver: driver.clone(),
            request,
            attempt,
            parts,
            memory: driver.memory.response(),
            reported_at_ms: AtomicU64::new(0),
        }
    }

    /// Reports to the core that output arrived. Returns whether the attempt is still in flight, as
    /// another one may have taken its place.
    fn report_output(&self) -> bool {
        let now = self.driver.now().as_duration().as_millis() as u64;
        let reported_at_ms = self.reported_at_ms.load(Ordering::Relaxed);
        let (request, attempt) = (self.request, self.attempt);
        let event = if reported_at_ms == 0 {
            Event::FirstOutput { request, attempt }
        } else if now >= reported_at_ms + PROGRESS_INTERVAL_MS {
            Event::Progress { request, attempt }
        } else {
            // No attempt is made beside one that has just reported output.
            return true;
        };
        let is_in_flight = self
            .driver
            .dispatch_and_read(event, |core| core.is_in_flight(request, attempt));
        if is_in_flight {
            self.reported_at_ms.store(now.max(1), Ordering::Relaxed);
        }
        is_in_flight
    }

    /// Waits until output is delivered, and reports it to the core meanwhile: the upstream of a
    /// caller that reads slowly is not read, but it is not silent.
    async fn report_output_until(&self, delivered: impl Future<Output = ()>) {
        let mut delivered = pin!(delivered);
        let interval = Duration::from_millis(PROGRESS_INTERVAL_MS);
        while with_timeout(interval, &mut delivered).await.is_none() {
            self.report_output();
        }
    }

    fn is_in_flight(&self) -> bool {
        let (request, attempt) = (self.request, self.attempt);
        self.driver
            .read(|_, core| core.is_in_flight(request, attempt))
    }
}

impl ResponseSink for CallerSink {
    async fn pass(&self, part: ResponsePart) -> bool {
        // A failed attempt may be retried, so its response does not count as output yet.
        let is_failure = matches!(&part, ResponsePart::Whole(whole) if whole.status >= 500);
        let may_pass = if is_failure {
            self.is_in_flight()
        } else {
            self.report_output()
        };
        if !may_pass {
            return false;
        }
        // A send error means that the caller has disconnected, which the caller's own task
        // reports. The attempt goes on until the core cancels it, or to its end if the request
        // must not be repeated.
        let ResponsePart::Chunk(chunk) = part else {
            let _ = self.parts.send(CallerMessage::Part(part)).await;
            return true;
        };
        self.report_output_until(async {
            // Until there is memory for the chunk, the upstream is not read.
            let part = ResponsePart::Chunk(self.memory.hold(chunk).await);
            let _ = self.parts.send(CallerMessage::Part(part)).await;
        })
        .await;
        true
    }

    fn memory(&self) -> &ResponseMemory {
        &self.memory
    }

    fn on_signal(&self, signal: UpstreamSignal) {
        if !signal.is_relevant() {
            return;
        }
        self.driver.dispatch(Event::Signal {
            request: self.request,
            attempt: self.attempt,
            signal,
        });
    }
}
