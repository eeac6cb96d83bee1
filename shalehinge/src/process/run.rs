//! Starts a daemon and shuts it down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use smol::Timer;
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_server_common::{Config, ServerHandle};

use super::core_cell::Core;
use super::driver::{Clients, Driver};
use super::watchdog::Watchdog;
use crate::core::daemon::{Daemon, Identity, TICK};
use crate::core::event::{Event, Timeouts};
use crate::core::types::{DaemonId, FailureDomain, Incarnation};
use crate::gateway::GatewayContext;
use crate::object_api::http::HttpPlatform;
use crate::peer::client::PeerClient;
use crate::settings::Settings;
use crate::settings::daemon::LimitSettings;
use crate::telemetry::metrics::Metrics;
use crate::upstream::engine::HttpEngineClient;
use crate::upstream::relay::RelayHeaderNames;
use crate::utils::allocator::return_large_allocations;
use crate::utils::http::{ListenError, bind};
use crate::utils::listener::Listener;
use crate::utils::memory_budget::{MemoryBudget, budget_for_limit};
use crate::utils::request_transport::{HeadLimits, RequestAcceptor, SharedAmount};
use crate::utils::task::{self, spawn};
use crate::utils::time::{wall_clock, with_timeout};
use crate::{gateway, operator_api, peer};

/// Maximum number of open connections for each of the operator, peer and readiness listeners.
const MAX_CONTROL_CONNECTIONS: usize = 1_200;
/// Maximum size of a request head of operators, peers and readiness checks, in bytes.
const MAX_CONTROL_HEAD_BYTES: usize = 8 * 1024;
/// Memory for the incomplete request heads of all connections, in bytes.
const HEAD_MEMORY_BYTES: usize = 8 * 1024 * 1024;
/// Head limit of the HTTP library, which applies to complete heads only: it is above all limits that
/// [`RequestAcceptor`] applies.
const LIBRARY_HEAD_BYTES: usize = 16 * 1024 * 1024;
/// Number of random low bits of an incarnation; the bits above hold the wall clock in
/// milliseconds.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// The daemon's bound listeners and their addresses.
struct Listeners {
    callers: smol::net::TcpListener,
    operators: smol::net::TcpListener,
    peers: smol::net::TcpListener,
    ready: Option<(smol::net::TcpListener, SocketAddr)>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    peer_address: SocketAddr,
}

impl Listeners {
    /// Address on which the load balancer checks readiness.
    fn ready_address(&self) -> SocketAddr {
        let own = self.ready.as_ref().map(|(_, address)| *address);
        own.unwrap_or(self.caller_address)
    }
}

/// Runs a daemon with HTTP clients for this project's own platform and engine interfaces, until
/// it receives a termination signal.
///
/// # Errors
///
/// Returns an error if one of the listeners can't be bound.
pub async fn run(settings: Settings) -> Result<(), ListenError> {
    let timeouts = Timeouts::default();
    let clients = Clients {
        platform: Box::new(HttpPlatform::new(
            settings.daemon.platform,
            timeouts.platform,
        )),
        engines: Box::new(HttpEngineClient::new(timeouts.engine)),
        peers: PeerClient::new(timeouts.peer),
    };
    run_with_clients(settings, clients, None).await
}

/// Runs a daemon with the given clients until it receives a termination signal. With `relay`,
/// callers' requests are relayed by the routes of the configuration instead of being served by
/// the project's own API.
///
/// # Errors
///
/// Returns an error if one of the listeners can't be bound.
pub async fn run_with_clients(
    settings: Settings,
    clients: Clients,
    relay: Option<RelayHeaderNames>,
) -> Result<(), ListenError> {
    run_with_core(settings, clients, relay, |daemon| Box::new(daemon)).await
}

/// Like [`run_with_clients`], with a core that is built from the daemon's state.
///
/// # Errors
///
/// Returns an error if one of the listeners can't be bound.
pub async fn run_with_core(
    settings: Settings,
    clients: Clients,
    relay: Option<RelayHeaderNames>,
    build_core: impl FnOnce(Daemon) -> Box<dyn Core>,
) -> Result<(), ListenError> {
    return_large_allocations();
    task::set_threads(settings.daemon.threads);
    let listeners = bind_listeners(&settings)?;
    let core = build_core(build_daemon(&settings, listeners.peer_address));
    let metrics = Metrics::new(settings.daemon.statsd);
    let limit = settings.daemon.limits.memory;
    let memory = MemoryBudget::new(Some(budget_for_limit(limit)));
    let (driver, stop_receiver) = Driver::new(core, clients, metrics, memory);
    log::info!(
        "daemon: {} in {} listens to callers on {}, to operators on {}, to peers on {}",
        settings.daemon.name,
        settings.daemon.failure_domain,
        listeners.caller_address,
        listeners.operator_address,
        listeners.peer_address
    );
    let ready_address = listeners.ready_address();
    log::info!("daemon: reports readiness on {ready_address}");
    let servers = spawn_servers(&settings, &driver, listeners, relay);
    let ticks = spawn(run_ticks(driver.clone()));
    let watchdog = Watchdog::start(&driver);
    wait_for_termination().await;
    if let Some(linger) = settings.daemon.limits.linger {
        driver.dispatch(Event::Leave);
        Timer::after(linger).await;
    }
    driver.dispatch(Event::Stop);
    let limit = settings.daemon.limits.stop_within;
    let stop_deadline = Instant::now() + limit;
    if with_timeout(limit, stop_receiver.recv()).await.is_none() {
        log::warn!("daemon: requests still in progress after {limit:?}, stopping anyway");
    }
    shut_down_servers(&servers, stop_deadline).await;
    drop(watchdog);
    drop(ticks);
    log::info!("daemon: stopped");
    Ok(())
}

fn bind_listeners(settings: &Settings) -> Result<Listeners, ListenError> {
    let daemon = &settings.daemon;
    let (callers, caller_address) = bind(daemon.callers)?;
    let (operators, operator_address) = bind(daemon.operators)?;
    let (peers, peer_address) = bind(daemon.peers)?;
    let ready = match daemon.ready {
        Some(address) => Some(bind(address)?),
        None => None,
    };
    Ok(Listeners {
        callers,
        operators,
        peers,
        ready,
        caller_address,
        operator_address,
        peer_address,
    })
}

fn build_daemon(settings: &Settings, peer_address: SocketAddr) -> Daemon {
    let daemon = &settings.daemon;
    let wall_clock = wall_clock();
    let random = fastrand::u64(..1 << INCARNATION_RANDOM_BITS);
    let incarnation = ((wall_clock.as_millis() as u64) << INCARNATION_RANDOM_BITS) | random;
    let identity = Identity {
        daemon: DaemonId::new(&daemon.name),
        failure_domain: FailureDomain::new(&daemon.failure_domain),
        address: peer_address,
        incarnation: Incarnation(incarnation),
        seeds: daemon.seeds.clone(),
        is_first_start: daemon.first_start,
        wall_seconds: wall_clock.as_secs(),
    };
    Daemon::new(settings.core, identity, fastrand::u64(..))
}

fn spawn_servers(
    settings: &Settings,
    driver: &Arc<Driver>,
    listeners: Listeners,
    relay: Option<RelayHeaderNames>,
) -> Vec<ServerHandle> {
    let limits = settings.daemon.limits;
    let context = GatewayContext {
        driver: driver.clone(),
        limits,
    };
    let token = settings.daemon.token_sha256.clone();
    let memory = SharedAmount::new(HEAD_MEMORY_BYTES);
    let caller_listener = ListenerConfig {
        http: http_config().with_received_body_max_len(limits.max_body_bytes),
        acceptor: caller_acceptor(driver.clone(), limits, memory.clone()),
    };
    let control_listener = ListenerConfig {
        http: http_config(),
        acceptor: control_acceptor(limits, memory),
    };
    let mut servers = Vec::new();
    if let Some((listener, _)) = listeners.ready {
        let handler = gateway::handler::readiness_handler(context.clone());
        servers.push(control_listener.spawn(listener, handler));
    }
    servers.push(match relay {
        Some(names) => {
            let handler = gateway::handler::relay_handler(context, names);
            caller_listener.spawn(listeners.callers, handler)
        }
        None => {
            let handler = gateway::handler::handler(context);
            caller_listener.spawn(listeners.callers, handler)
        }
    });
    let operators = operator_api::handler(driver.clone(), token, limits.body_timeout);
    let peers = peer::server::handler(driver.clone(), limits.body_timeout, relay);
    servers.extend([
        control_listener.spawn(listeners.operators, operators),
        control_listener.spawn(listeners.peers, peers),
    ]);
    servers
}

fn http_config() -> HttpConfig {
    HttpConfig::default().with_head_max_len(LIBRARY_HEAD_BYTES)
}

/// Applies the limits on heads of the fleet's configuration, or those of the settings.
fn caller_acceptor(
    driver: Arc<Driver>,
    settings: LimitSettings,
    memory: SharedAmount,
) -> RequestAcceptor {
    let limits = move || {
        let configured = driver.caller_limits();
        let max_bytes = configured.and_then(|limits| limits.max_head_bytes);
        let timeout_ms = configured.and_then(|limits| limits.head_timeout_ms);
        HeadLimits {
            max_bytes: max_bytes.unwrap_or(settings.max_head_bytes),
            timeout: timeout_ms.map_or(settings.head_timeout, Duration::from_millis),
        }
    };
    RequestAcceptor::new(limits, memory, settings.max_connections)
}

fn control_acceptor(settings: LimitSettings, memory: SharedAmount) -> RequestAcceptor {
    let limits = HeadLimits {
        max_bytes: MAX_CONTROL_HEAD_BYTES,
        timeout: settings.head_timeout,
    };
    RequestAcceptor::new(move || limits, memory, MAX_CONTROL_CONNECTIONS)
}

/// Properties of a listener.
struct ListenerConfig {
    http: HttpConfig,
    acceptor: RequestAcceptor,
}

impl ListenerConfig {
    fn spawn(&self, listener: smol::net::TcpListener, handler: impl Handler) -> ServerHandle {
        Config::<Listener, ()>::new()
            .without_signals()
            .with_nodelay()
            .with_http_config(self.http)
            .with_acceptor(self.acceptor.clone())
            .with_prebound_server(Listener::new(listener))
            .spawn(handler)
    }
}

async fn run_ticks(driver: Arc<Driver>) {
    let mut late_by = Duration::ZERO;
    loop {
        driver.tick(late_by);
        let due_at = Instant::now() + TICK;
        Timer::at(due_at).await;
        late_by = due_at.elapsed();
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged: changed settings take effect at the next
/// start.
async fn wait_for_termination() {
    match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(mut signals) => {
            while let Some(Ok(Signal::Hup)) = signals.next().await {
                log::info!(
                    "daemon: received SIGHUP; changed settings take effect at the next start"
                );
            }
        }
        Err(error) => {
            log::error!("daemon: can't install signal handlers: {error}");
            std::future::pending::<()>().await;
        }
    }
}

/// Shuts all servers down at once. They share the time until `deadline` to finish their
/// connections.
async fn shut_down_servers(servers: &[ServerHandle], deadline: Instant) {
    let completions: Vec<_> = servers.iter().map(ServerHandle::shut_down).collect();
    for completion in completions {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if with_timeout(time_left, completion).await.is_none() {
            log::warn!("daemon: connections still open at the end of stop_within");
        }
    }
}
