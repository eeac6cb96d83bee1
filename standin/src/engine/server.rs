//! HTTP API of the stand-in engine. See docs/INTERFACES.md.
//!
//! One process runs one or more hosts, each with its own listener.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use async_channel::{Receiver, Sender};
use futures_util::{TryStreamExt, stream};
use serde::Deserialize;
use serde_json::json;
use shalehinge::core::engine::{EnginePhase, EngineStatus, Order};
use shalehinge::core::objects::{HostRecord, HostState};
use shalehinge::core::router::prefix;
use shalehinge::core::types::{FabricDomain, FailureDomain, GroupNumber, HostId};
use shalehinge::upstream::attempt::{ATTEMPT_HEADER, GROUP_HEADER, NOT_RUN_HEADER};
use shalehinge::upstream::engine::{ORDERS_PATH, STATUS_PATH};
use shalehinge::upstream::signal::{LEAVING_HEADER, LIMIT_HEADER};
use shalehinge::utils::http::{exchange, pooled_client, url};
use shalehinge::utils::time::wall_clock;
use smol::Timer;
use trillium::{Body, Conn, Handler, KnownHeaderName, Status};
use trillium_client::Client;
use trillium_router::Router;
use trillium_server_common::ServerHandle;

use super::faults::EngineFault;
use super::model::{EngineParameters, SequenceSpec, Token};
use super::state::{Followup, HostEngine};
use crate::server::{print_listen_address, read_json, serve, write_json};

/// Interval at which rank 0 checks the status of the other members.
const MEMBER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a status request to another member.
const MEMBER_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of tokens buffered for a slow reader; beyond it, the sequence is cancelled.
const MAX_BUFFERED_TOKENS: usize = 4_096;

/// run stand-in engines, one per host
#[derive(FromArgs, Debug, Clone)]
#[argh(subcommand, name = "engine")]
pub struct EngineArguments {
    /// name of the host; with --count above 1, each name is followed by a number
    #[argh(option)]
    pub host: String,

    /// address to listen on; with --count above 1, the operating system chooses the ports
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,

    /// failure domain of the hosts
    #[argh(option)]
    pub failure_domain: String,

    /// fabric domain of the hosts
    #[argh(option)]
    pub fabric_domain: String,

    /// number of accelerators per host
    #[argh(option, default = "8")]
    pub accelerators: u32,

    /// address of the platform to register the hosts with
    #[argh(option)]
    pub platform: SocketAddr,

    /// number of hosts to run in this process
    #[argh(option, default = "1")]
    pub count: u32,

    /// time to load weights from the weight store, in milliseconds
    #[argh(option, default = "500")]
    pub load_ms: u64,

    /// accept orders whatever their epoch
    #[argh(switch)]
    pub ignore_fences: bool,

    /// maximum number of sequences in a batch
    #[argh(option, default = "32")]
    pub slots: u32,

    /// duration of a step with an empty batch, in milliseconds
    #[argh(option, default = "18")]
    pub step_ms: u64,

    /// time that each sequence adds to a step, in microseconds
    #[argh(option, default = "400")]
    pub sequence_us: u64,
}

/// Runs the engines until the process is terminated.
///
/// # Errors
///
/// Fails as [`spawn`] does.
pub fn run(arguments: &EngineArguments) -> miette::Result<()> {
    let engines = spawn(arguments)?;
    for engine in &engines {
        print_listen_address(&engine.name, engine.address);
    }
    for engine in engines {
        engine.handle.block();
    }
    Ok(())
}

/// An engine that runs in this process.
pub struct RunningEngine {
    /// Name of its host.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Handle that stops its server.
    pub handle: ServerHandle,
}

/// Starts the engines in this process and registers their hosts with the platform.
///
/// # Errors
///
/// Fails if an address can't be bound, or if the platform doesn't register a host within 5 s.
pub fn spawn(arguments: &EngineArguments) -> miette::Result<Vec<RunningEngine>> {
    let mut engines = Vec::new();
    for index in 0..arguments.count {
        let is_single = arguments.count == 1;
        let (name, listen) = if is_single {
            (arguments.host.clone(), arguments.listen)
        } else {
            let any_port = SocketAddr::new(arguments.listen.ip(), 0);
            (format!("{}-{index}", arguments.host), any_port)
        };
        let engine = Engine::new(&name, arguments);
        let (address, handle) = serve(listen, engine.handler())?;
        smol::spawn(engine.clone().decode_loop()).detach();
        smol::spawn(engine.clone().member_check_loop()).detach();
        smol::block_on(register(&name, address, arguments))?;
        engines.push(RunningEngine {
            name,
            address,
            handle,
        });
    }
    Ok(engines)
}

/// Registers the host with the platform.
async fn register(
    name: &str,
    address: SocketAddr,
    arguments: &EngineArguments,
) -> miette::Result<()> {
    let record = HostRecord {
        address,
        failure_domain: FailureDomain::new(&arguments.failure_domain),
        fabric_domain: FabricDomain::new(&arguments.fabric_domain),
        accelerators: arguments.accelerators,
        state: HostState::Live,
        service: None,
        slots: None,
        staged: Vec::new(),
        status: None,
        started: None,
        warm_up_ms: 0,
    };
    let body = serde_json::to_vec(&record).unwrap_or_default();
    let path = format!("/admin/hosts/{name}");
    let conn = pooled_client()
        .put(url(arguments.platform, &path))
        .with_body(body);
    match exchange(conn, Duration::from_secs(5)).await {
        Some((204, _)) => Ok(()),
        _ => Err(miette::miette!("the platform did not register host {name}")),
    }
}

/// Engine of one host.
#[derive(Clone)]
struct Engine {
    state: Arc<Mutex<HostEngine>>,
    /// Token channels of the responses in progress, by sequence identifier.
    streams: Arc<Mutex<HashMap<u64, Sender<Token>>>>,
    /// Wakes the decode loop when a sequence is submitted to an idle batch.
    work_signal: (Sender<()>, Receiver<()>),
    next_id: Arc<std::sync::atomic::AtomicU64>,
    /// Time to load weights from the weight store.
    load_time: Duration,
    started: Instant,
    client: Client,
}

/// Fields of a chat completion request that the stand-in uses.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    #[serde(default)]
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Engine {
    fn new(name: &str, arguments: &EngineArguments) -> Self {
        let parameters = EngineParameters {
            slots: arguments.slots,
            step_base: Duration::from_millis(arguments.step_ms),
            step_per_sequence: Duration::from_micros(arguments.sequence_us),
            kv_total: u64::from(arguments.slots) * 2_000,
            ..EngineParameters::default()
        };
        let host = HostId::new(name);
        let engine = HostEngine::new(host, !arguments.ignore_fences, parameters);
        Self {
            state: Arc::new(Mutex::new(engine)),
            streams: Arc::default(),
            work_signal: async_channel::bounded(1),
            next_id: Arc::default(),
            load_time: Duration::from_millis(arguments.load_ms),
            started: Instant::now(),
            client: pooled_client(),
        }
    }

    fn handler(&self) -> impl Handler + use<> {
        let status = self.clone();
        let orders = self.clone();
        let chat = self.clone();
        let fault = self.clone();
        let slowdown = self.clone();
        Router::new()
            .get(STATUS_PATH, move |conn: Conn| {
                let engine = status.clone();
                async move { engine.handle_status(conn) }
            })
            .post(ORDERS_PATH, move |conn: Conn| {
                let engine = orders.clone();
                async move { engine.handle_order(conn).await }
            })
            .post("/v1/chat/completions", move |conn: Conn| {
                let engine = chat.clone();
                async move { engine.handle_chat(conn).await }
            })
            .put("/admin/fault", move |conn: Conn| {
                let engine = fault.clone();
                async move { engine.handle_fault(conn).await }
            })
            .put("/admin/slowness", move |conn: Conn| {
                let engine = slowdown.clone();
                async move { engine.handle_slowdown(conn).await }
            })
    }

    /// Time since the engine started, by the monotonic clock.
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle_status(&self, conn: Conn) -> Conn {
        let status = lock(&self.state).status(self.now());
        write_json(conn, Status::Ok, &status)
    }

    async fn handle_fault(&self, mut conn: Conn) -> Conn {
        let Some(fault) = read_json::<EngineFault>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        lock(&self.state).fault = fault;
        conn.with_status(Status::NoContent).halt()
    }

    async fn handle_slowdown(&self, mut conn: Conn) -> Conn {
        let Some(slowdown) = read_json::<f64>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        lock(&self.state).model.set_slowdown(slowdown);
        conn.with_status(Status::NoContent).halt()
    }

    async fn handle_order(&self, mut conn: Conn) -> Conn {
        let Some(order) = read_json::<Order>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        let (reply, followup) = lock(&self.state).handle_order(self.now(), order);
        if let Followup::Load { number, warm } = followup {
            let engine = self.clone();
            smol::spawn(async move {
                let duration = if warm {
                    engine.load_time / 10
                } else {
                    engine.load_time
                };
                Timer::after(duration).await;
                lock(&engine.state).finish_load(number);
            })
            .detach();
        }
        self.close_streams_if_idle();
        write_json(conn, Status::Ok, &reply)
    }

    /// Closes all token channels if the batch is idle, so that the responses to cancelled
    /// sequences end without the `[DONE]` event.
    fn close_streams_if_idle(&self) {
        if lock(&self.state).model.is_idle() {
            lock(&self.streams).clear();
        }
    }

    /// At rank 0, checks the other members of the group periodically.
    async fn member_check_loop(self) {
        loop {
            Timer::after(MEMBER_CHECK_INTERVAL).await;
            let others = lock(&self.state).other_members();
            let Some((group, others)) = others.filter(|(_, others)| !others.is_empty()) else {
                continue;
            };
            let count = others.len() as u32;
            let now = self.now();
            let checks = others.into_iter().map(|address| {
                let conn = self.client.get(url(address, STATUS_PATH));
                is_member_ready(conn, group)
            });
            let ready = futures_util::future::join_all(checks).await;
            let ready = ready.into_iter().filter(|ready| *ready).count() as u32;
            if lock(&self.state).record_member_check(now, group, ready, count) {
                lock(&self.streams).clear();
            }
        }
    }

    /// Runs the steps of the batch in real time, and sends each token to its response.
    async fn decode_loop(self) {
        loop {
            let step = lock(&self.state).model.step();
            let Some(step) = step else {
                lock(&self.state).finish_drain();
                let _ = self.work_signal.1.recv().await;
                continue;
            };
            Timer::after(step.duration).await;
            let mut streams = lock(&self.streams);
            for token in step.tokens {
                let Some(stream) = streams.get(&token.id) else {
                    continue;
                };
                let is_undeliverable = stream.try_send(token).is_err();
                if is_undeliverable {
                    streams.remove(&token.id);
                    lock(&self.state).model.cancel(token.id);
                } else if token.is_last {
                    streams.remove(&token.id);
                }
            }
        }
    }

    async fn handle_chat(&self, mut conn: Conn) -> Conn {
        let header = |conn: &Conn, name: &'static str| {
            conn.request_headers().get_str(name).map(str::to_owned)
        };
        let attempt = header(&conn, ATTEMPT_HEADER).unwrap_or_default();
        let group = header(&conn, GROUP_HEADER)
            .and_then(|text| text.parse().ok())
            .map(GroupNumber);
        let Some(request) = read_json::<ChatRequest>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        let fault = lock(&self.state).fault;
        match fault {
            EngineFault::Silent => never_respond().await,
            EngineFault::Failing => {
                return conn
                    .with_status(Status::InternalServerError)
                    .with_response_header(ATTEMPT_HEADER, attempt)
                    .halt();
            }
            EngineFault::Garbage => {
                return conn
                    .with_response_header(ATTEMPT_HEADER, attempt)
                    .ok("\u{1}\u{2} this is no answer");
            }
            EngineFault::AsksForCooldown { tenths } => {
                let seconds = format!("{}.{}", tenths / 10, tenths % 10);
                return respond_not_run(conn, attempt)
                    .with_response_header(KnownHeaderName::RetryAfter, seconds);
            }
            _ => {}
        }
        let Some((id, tokens)) = self.submit_sequence(group, &request) else {
            return respond_not_run(conn, attempt);
        };
        let response_attempt = if fault == EngineFault::OtherAttempt {
            "0000000000000000-0".to_owned()
        } else {
            attempt
        };
        let mut conn = conn.with_response_header(ATTEMPT_HEADER, response_attempt);
        if let EngineFault::NamesLimit { tenths_a_second } = fault {
            let limit = format!("{}.{}", tenths_a_second / 10, tenths_a_second % 10);
            conn = conn.with_response_header(LIMIT_HEADER, limit);
        }
        if fault == EngineFault::SaysLeaving {
            conn = conn.with_response_header(LEAVING_HEADER, "1");
        }
        if request.stream {
            return respond_streaming(conn, id, tokens, fault);
        }
        respond_complete(conn, id, tokens).await
    }

    /// Submits a sequence, or returns `None` if the group is incomplete or not the requested one.
    fn submit_sequence(
        &self,
        group: Option<GroupNumber>,
        request: &ChatRequest,
    ) -> Option<(u64, Receiver<Token>)> {
        let prompt = serde_json::to_vec(&request.messages).unwrap_or_default();
        let id = self
            .next_id
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (sender, tokens) = async_channel::bounded(MAX_BUFFERED_TOKENS);
        let mut state = lock(&self.state);
        if !state.can_serve(self.now(), group) {
            return None;
        }
        lock(&self.streams).insert(id, sender);
        state.model.submit(SequenceSpec {
            id,
            prompt_tokens: (prompt.len() / 4).max(1) as u32,
            output_tokens: request.max_tokens.unwrap_or(64).max(1),
            prefix: prefix::chain_of(&prompt),
            priority: 0,
        });
        let _ = self.work_signal.0.try_send(());
        Some((id, tokens))
    }
}

/// Requests the status of another member and returns whether it is ready in this group.
async fn is_member_ready(conn: trillium_client::Conn, group: GroupNumber) -> bool {
    let Some((200, body)) = exchange(conn, MEMBER_CHECK_TIMEOUT).await else {
        return false;
    };
    let status: Option<EngineStatus> = serde_json::from_slice(&body).ok();
    status.is_some_and(|status| {
        let ready = status.phase == EnginePhase::Ready || status.phase == EnginePhase::Draining;
        ready && status.group == Some(group)
    })
}

/// Answers a request that was not run.
fn respond_not_run(conn: Conn, attempt: String) -> Conn {
    conn.with_status(Status::ServiceUnavailable)
        .with_response_header(ATTEMPT_HEADER, attempt)
        .with_response_header(NOT_RUN_HEADER, "1")
        .halt()
}

/// Answers with the complete output once its last token is generated.
async fn respond_complete(conn: Conn, id: u64, tokens: Receiver<Token>) -> Conn {
    let mut text = String::new();
    let mut count = 0;
    let mut is_complete = false;
    while let Ok(token) = tokens.recv().await {
        count = token.number;
        text.push_str(&format!("t{} ", token.number));
        is_complete = token.is_last;
    }
    if !is_complete {
        // The sequence was cancelled: an error, so that the partial output isn't mistaken for a
        // complete answer.
        return conn.with_status(Status::InternalServerError).halt();
    }
    let answer = json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": {"completion_tokens": count},
    });
    write_json(conn, Status::Ok, &answer)
}

/// Keeps a connection open without answering. The timer wakes the task periodically: the runtime
/// sometimes drops a task that nothing can wake, which closes its connection (26 of 1,200
/// connections held without the timer).
async fn never_respond() {
    const WAKE_INTERVAL: Duration = Duration::from_secs(1);
    loop {
        Timer::after(WAKE_INTERVAL).await;
    }
}

/// Answers with a stream of server-sent events, one per token.
fn respond_streaming(conn: Conn, id: u64, tokens: Receiver<Token>, fault: EngineFault) -> Conn {
    let events = stream::unfold(Some(tokens), move |tokens| async move {
        let tokens = tokens?;
        let token = tokens.recv().await.ok()?;
        let mut event = token_event(id, token);
        if !token.is_last {
            return Some((Ok::<_, std::io::Error>(event.into_bytes()), Some(tokens)));
        }
        if fault != EngineFault::CutStream {
            event.push_str("data: [DONE]\n\n");
        }
        if fault == EngineFault::SendMore {
            event.push_str("data: {\"choices\":[{\"delta\":{\"content\":\"more\"}}]}\n\n");
        }
        Some((Ok(event.into_bytes()), None))
    });
    let body = Body::new_streaming(Box::pin(events).into_async_read(), None);
    conn.with_response_header(KnownHeaderName::ContentType, "text/event-stream")
        .ok(body)
}

/// Formats a token as a server-sent event, with the wall-clock time at which it was emitted.
fn token_event(id: u64, token: Token) -> String {
    let event = json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": format!("t{} ", token.number)}}],
        "emitted_us": wall_clock().as_micros() as u64,
    });
    format!("data: {event}\n\n")
}
