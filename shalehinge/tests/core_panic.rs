//! A core that panics ends its process, and one that is blocked is not ready.
//!
//! The daemon runs in a child process of this test program, with a core that a test makes panic or
//! block. Nothing in the daemon's own binaries can do this.

mod process_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures_lite::future::Boxed;
use process_support::{API_KEY, DaemonProcess, Fleet, send_request, wait_for};
use shalehinge::core::change::Change;
use shalehinge::core::daemon::Daemon;
use shalehinge::core::engine::{EngineStatus, NoStatus, Order, OrderReply};
use shalehinge::core::event::{Action, Event, Timeouts};
use shalehinge::core::operator::OperatorAnswer;
use shalehinge::core::platform::{PlatformCall, PlatformResult};
use shalehinge::core::types::{Address, Customer, HostId, ModelName, ModelVersion, Timestamp};
use shalehinge::object_api::PlatformClient;
use shalehinge::object_api::http::HttpPlatform;
use shalehinge::peer::client::PeerClient;
use shalehinge::process::core_cell::{Core, HEARTBEAT_TIMEOUT};
use shalehinge::process::driver::Clients;
use shalehinge::process::run::run_with_core;
use shalehinge::process::watchdog::StallDetector;
use shalehinge::settings::Settings;
use shalehinge::telemetry::logs;
use shalehinge::upstream::EngineClient;
use shalehinge::upstream::engine::HttpEngineClient;
use shalehinge::utils::fatal::FATAL_EXIT_CODE;
use shalehinge::utils::task;

/// Environment variables of the child process, which only this test program reads.
const SETTINGS_VARIABLE: &str = "CORE_PANIC_TEST_SETTINGS";
const FAULT_VARIABLE: &str = "CORE_PANIC_TEST_FAULT";
/// Start of the log line about a panic of the core.
const PANIC_LINE: &str = "daemon: the core panicked, exiting with code 70:";
/// Start of the log line about a core without ticks.
const STALL_LINE: &str = "daemon: the core has handled no tick for 15s, exiting with code 70";
/// Time for which a blocked core handles a tick.
const BLOCKED_FOR: Duration = Duration::from_secs(6);

/// A fault of the child process, which begins once its trigger file exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The core panics in a tick.
    PanicInTick,
    /// The core panics in an event that a detached task reports.
    PanicInReply,
    /// The core panics while a caller's request is handled.
    PanicInRequest,
    /// A detached task panics outside of the core.
    PanicOutside,
    /// The first call of each kind to the platform and to engines panics.
    PanicInCalls,
    /// The core handles one tick for [`BLOCKED_FOR`].
    BlockedTick,
    /// The core handles one tick that doesn't end.
    EndlessTick,
}

const FAULTS: [Fault; 7] = [
    Fault::PanicInTick,
    Fault::PanicInReply,
    Fault::PanicInRequest,
    Fault::PanicOutside,
    Fault::PanicInCalls,
    Fault::BlockedTick,
    Fault::EndlessTick,
];

/// Kinds of calls that [`Fault::PanicInCalls`] concerns.
const CALLS: [&str; 4] = ["write", "watch", "status", "order"];

/// File that the test creates to begin the fault.
fn trigger_path(settings: &Path) -> PathBuf {
    settings.with_extension("trigger")
}

/// File that the child creates just before it panics.
fn marker_path(settings: &Path) -> PathBuf {
    settings.with_extension("panicked")
}

/// Panics after it has created the marker file.
fn panic_with_marker(settings: &Path) -> ! {
    std::fs::write(marker_path(settings), "").expect("can write the marker");
    panic!("a fault of the test");
}

/// A core with a fault.
struct FaultyCore {
    daemon: Daemon,
    fault: Fault,
    settings: PathBuf,
    has_blocked: bool,
}

impl Core for FaultyCore {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        let is_triggered = trigger_path(&self.settings).exists();
        match (self.fault, &event) {
            (Fault::PanicInTick, Event::Tick)
            | (Fault::PanicInReply, Event::Platform { .. })
            | (Fault::PanicInRequest, Event::Request { .. })
                if is_triggered =>
            {
                panic_with_marker(&self.settings)
            }
            (Fault::BlockedTick, Event::Tick) if is_triggered && !self.has_blocked => {
                self.has_blocked = true;
                std::thread::sleep(BLOCKED_FOR);
            }
            (Fault::EndlessTick, Event::Tick) if is_triggered => loop {
                std::thread::sleep(BLOCKED_FOR);
            },
            _ => {}
        }
        self.daemon.handle(now, event, actions);
    }

    fn daemon(&self) -> &Daemon {
        &self.daemon
    }
}

/// File that the child creates just before its first call of a kind panics.
fn call_marker_path(settings: &Path, call: &str) -> PathBuf {
    settings.with_extension(call)
}

/// Panics in the first call of this kind once the fault has begun.
fn panic_in_first_call(fault: Fault, settings: &Path, call: &str) {
    let marker = call_marker_path(settings, call);
    if fault == Fault::PanicInCalls && trigger_path(settings).exists() && !marker.exists() {
        std::fs::write(marker, "").expect("can write the marker");
        panic!("a fault of the test in a {call}");
    }
}

/// An engine client with a fault.
struct FaultyEngines {
    engines: HttpEngineClient,
    fault: Fault,
    settings: PathBuf,
}

impl EngineClient for FaultyEngines {
    fn status(
        &self,
        host: Option<HostId>,
        address: Address,
    ) -> Boxed<Result<EngineStatus, NoStatus>> {
        panic_in_first_call(self.fault, &self.settings, "status");
        self.engines.status(host, address)
    }

    fn order(&self, host: HostId, address: Address, order: Order) -> Boxed<Option<OrderReply>> {
        panic_in_first_call(self.fault, &self.settings, "order");
        self.engines.order(host, address, order)
    }
}

/// A platform client whose next call panics outside of the core.
struct FaultyPlatform {
    platform: HttpPlatform,
    fault: Fault,
    settings: PathBuf,
}

impl PlatformClient for FaultyPlatform {
    fn call(&self, request: PlatformCall) -> Boxed<PlatformResult> {
        match request {
            PlatformCall::Put { .. } => panic_in_first_call(self.fault, &self.settings, "write"),
            PlatformCall::Watch { .. } => panic_in_first_call(self.fault, &self.settings, "watch"),
            _ => {}
        }
        let call = self.platform.call(request);
        let has_panicked = marker_path(&self.settings).exists();
        let panics = self.fault == Fault::PanicOutside
            && trigger_path(&self.settings).exists()
            && !has_panicked;
        let settings = self.settings.clone();
        Box::pin(async move {
            if panics {
                panic_with_marker(&settings);
            }
            call.await
        })
    }
}

/// Runs a daemon if this is the child process of another test.
#[test]
fn child_process() {
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from) else {
        return;
    };
    let name = std::env::var(FAULT_VARIABLE).expect("the parent sets the fault");
    let fault = FAULTS
        .into_iter()
        .find(|fault| format!("{fault:?}") == name)
        .expect("the fault is known");
    let settings = Settings::load(&path).expect("the settings are valid");
    let daemon = &settings.daemon;
    logs::init(daemon.log_file.as_deref(), daemon.log_level).expect("can open the log");
    let timeouts = Timeouts::default();
    let clients = Clients {
        platform: Box::new(FaultyPlatform {
            platform: HttpPlatform::new(daemon.platform, timeouts.platform),
            fault,
            settings: path.clone(),
        }),
        engines: Box::new(FaultyEngines {
            engines: HttpEngineClient::new(timeouts.engine),
            fault,
            settings: path.clone(),
        }),
        peers: PeerClient::new(timeouts.peer),
    };
    let run = run_with_core(settings, clients, None, |daemon| {
        Box::new(FaultyCore {
            daemon,
            fault,
            settings: path,
            has_blocked: false,
        })
    });
    smol::block_on(run).expect("the daemon runs");
}

/// A daemon with a fault, in a child process.
struct FaultyDaemon {
    process: DaemonProcess,
    settings: PathBuf,
    // Keeps the stand-in platform's directory until the process has ended.
    _fleet: Fleet,
}

impl FaultyDaemon {
    /// Starts a daemon whose fault has not begun, and waits until it is ready.
    fn start(fault: Fault) -> Self {
        let mut fleet = Fleet::new(&format!("{fault:?}"), 2);
        let mut settings = PathBuf::new();
        let process = fleet.start_daemon_by(&[], |path| {
            settings = path.to_owned();
            let program = std::env::current_exe().expect("this program has a path");
            let mut command = Command::new(program);
            command
                .args(["--exact", "child_process", "--nocapture"])
                .env(SETTINGS_VARIABLE, path)
                .env(FAULT_VARIABLE, format!("{fault:?}"));
            command
        });
        wait_for("the daemon answers operators", || process.status());
        fleet.configure(&process);
        wait_for("the daemon is ready", || {
            (ready_status(process.callers) == Some(200)).then_some(())
        });
        Self {
            process,
            settings,
            _fleet: fleet,
        }
    }

    fn trigger(&self) {
        std::fs::write(trigger_path(&self.settings), "").expect("can write the trigger");
    }

    fn has_panicked(&self) -> bool {
        marker_path(&self.settings).exists()
    }

    /// Status of the readiness check; `None` if there is no answer.
    fn ready_status(&self) -> Option<u16> {
        ready_status(self.process.callers)
    }

    /// Checks that the process ends with the exit code for panics of the core, that it never
    /// reports to be ready after the panic, and that the log names the panic.
    fn assert_exits_after_panic(mut self) {
        let end = Instant::now() + Duration::from_secs(30);
        let status = loop {
            if let Some(status) = self.process.try_wait() {
                break status;
            }
            assert!(Instant::now() < end, "the process goes on after the panic");
            let had_panicked = self.process.log_text().contains(PANIC_LINE);
            let ready = self.ready_status();
            assert!(
                !(had_panicked && ready == Some(200)),
                "ready although the core has panicked"
            );
        };
        assert_eq!(status.code(), Some(FATAL_EXIT_CODE));
        let log = self.process.log_text();
        let line = log
            .lines()
            .find(|line| line.contains(PANIC_LINE))
            .expect("the log names the panic");
        assert!(line.contains("a fault of the test"), "{line}");
        assert!(line.contains("core_panic.rs"), "{line}");
    }
}

/// Sends a readiness check; `None` if there is no answer.
fn ready_status(to: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    let request = "GET /readyz HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response);
    text.split(' ').nth(1)?.parse().ok()
}

/// Without the exit, the tick task ends silently and the daemon answers readiness checks with 200
/// while every request is rejected.
#[test]
fn a_panic_in_a_tick_ends_the_process() {
    let daemon = FaultyDaemon::start(Fault::PanicInTick);
    daemon.trigger();
    daemon.assert_exits_after_panic();
}

/// Without the exit, the executor catches the panic of the detached task that reports the event,
/// and the next event is handled by a core whose state may be half changed.
#[test]
fn a_panic_in_an_event_of_a_detached_task_ends_the_process() {
    let daemon = FaultyDaemon::start(Fault::PanicInReply);
    daemon.trigger();
    daemon.assert_exits_after_panic();
}

/// Without the exit, the HTTP server catches the panic as one of the caller's connection.
#[test]
fn a_panic_in_a_request_of_a_caller_ends_the_process() {
    let daemon = FaultyDaemon::start(Fault::PanicInRequest);
    daemon.trigger();
    let authorization = format!("Bearer {API_KEY}");
    let headers = [("Authorization", authorization.as_str())];
    send_request(daemon.process.callers, "GET", "/rutas/x", &headers, "");
    daemon.assert_exits_after_panic();
}

/// A panic that the core has no part in must end only the task that it occurs in.
#[test]
fn a_panic_outside_of_the_core_leaves_the_daemon_running() {
    let mut daemon = FaultyDaemon::start(Fault::PanicOutside);
    daemon.trigger();
    wait_for("the task has panicked", || {
        daemon.has_panicked().then_some(())
    });
    std::thread::sleep(2 * HEARTBEAT_TIMEOUT);
    assert_eq!(daemon.process.try_wait(), None);
    assert_eq!(daemon.ready_status(), Some(200));
}

/// Guards against a daemon that waits forever for the result of a call whose task has panicked.
#[test]
fn a_call_that_panics_counts_as_unanswered_and_is_made_again() {
    let daemon = FaultyDaemon::start(Fault::PanicInCalls);
    let serves = || {
        let authorization = format!("Bearer {API_KEY}");
        let headers = [("Authorization", authorization.as_str())];
        let path = "/rutas/x";
        let response = send_request(daemon.process.callers, "GET", path, &headers, "");
        (response.status == 200).then_some(())
    };
    wait_for("the daemon serves requests", serves);
    daemon.trigger();
    // The hosts get orders, as they have to form other groups.
    let change = Change::Intent {
        model: ModelName::new("m"),
        version: ModelVersion::new("v1"),
        replicas: 2,
        hosts_per_replica: 1,
        owner: Customer::new("c"),
    };
    wait_for("the change is confirmed", || {
        let answer = daemon.process.apply_change(&change, 99);
        matches!(answer, OperatorAnswer::Confirmed { .. }).then_some(())
    });
    for call in CALLS {
        wait_for(&format!("a {call} has panicked"), || {
            call_marker_path(&daemon.settings, call)
                .exists()
                .then_some(())
        });
    }
    wait_for("both replicas are in routing", || {
        (daemon.process.eligible_replicas() == 2).then_some(())
    });
    serves().expect("the daemon serves requests");
}

/// Guards against executor threads that end with the task that panicked on them.
#[test]
fn tasks_run_after_panics_of_others() {
    static RUN: AtomicUsize = AtomicUsize::new(0);
    const TASKS: usize = 100;
    for _ in 0..TASKS {
        task::spawn(async { panic!("a panic of one task") }).detach();
        task::spawn(async {
            RUN.fetch_add(1, Ordering::SeqCst);
        })
        .detach();
    }
    wait_for("all other tasks have run", || {
        (RUN.load(Ordering::SeqCst) == TASKS).then_some(())
    });
}

/// Without the heartbeat, the readiness check waits for the core's lock and then reports 200.
#[test]
fn a_blocked_core_is_not_ready_until_its_next_tick() {
    let daemon = FaultyDaemon::start(Fault::BlockedTick);
    daemon.trigger();
    let triggered_at = Instant::now();
    wait_for("the daemon is not ready", || {
        (daemon.ready_status() == Some(503)).then_some(())
    });
    assert!(triggered_at.elapsed() < BLOCKED_FOR, "reported too late");
    wait_for("the daemon is ready again", || {
        (daemon.ready_status() == Some(200)).then_some(())
    });
}

/// Guards against a daemon that answers nobody until an operator ends it.
#[test]
fn a_tick_that_does_not_end_ends_the_process() {
    let mut daemon = FaultyDaemon::start(Fault::EndlessTick);
    daemon.trigger();
    let status = wait_for("the process has ended", || daemon.process.try_wait());
    assert_eq!(status.code(), Some(FATAL_EXIT_CODE));
    let log = daemon.process.log_text();
    assert!(log.contains(STALL_LINE), "{log}");
}

/// Guards against a daemon that ends after it was suspended, during which it handles no ticks.
#[test]
fn time_without_checks_does_not_count_as_a_stalled_core() {
    let mut detector = StallDetector::default();
    let tick_ms = 7_000;
    // Each suspension has at most one check between resuming and the next tick.
    for suspension in 0..100 {
        assert!(!detector.check(tick_ms + suspension));
        assert!(!detector.check(tick_ms + suspension));
    }
    let checks = (0..).take_while(|_| !detector.check(tick_ms + 100));
    assert_eq!(checks.take(100).count(), 5);
}

/// Guards against a daemon that stays out of the load balancer after it was suspended.
#[test]
fn a_suspended_daemon_is_ready_after_it_resumes() {
    let mut fleet = Fleet::new("suspended-ready", 2);
    let daemon = fleet.start_serving_daemon();
    daemon.send_signal("-STOP");
    std::thread::sleep(HEARTBEAT_TIMEOUT + Duration::from_secs(1));
    daemon.send_signal("-CONT");
    let resumed_at = Instant::now();
    wait_for("the daemon is ready", || {
        (ready_status(daemon.callers) == Some(200)).then_some(())
    });
    assert!(resumed_at.elapsed() < HEARTBEAT_TIMEOUT, "ready too late");
}
