//! Listening sockets of the daemon.

use std::fs::File;
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use rustix::time::{ClockId, clock_gettime};
use shalehinge::utils::fatal::FATAL_EXIT_CODE;
use shalehinge::utils::http::bind;
use shalehinge::utils::listener::Listener;
use smol::Timer;
use smol::future::or;
use trillium_server_common::Server;

/// Environment variable of child processes, which only this test program reads.
const CHILD_VARIABLE: &str = "LISTENERS_TEST_CHILD";
/// Time after which a child process is ended.
const CHILD_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which accept fails.
const FAILS_FOR: Duration = Duration::from_secs(1);

fn listener() -> (Listener, std::net::SocketAddr) {
    let (socket, address) = bind(([127, 0, 0, 1], 0).into()).expect("the port is free");
    (Listener::new(socket), address)
}

/// Whether this is a child process that runs the scenario of this name.
fn is_child(name: &str) -> bool {
    std::env::var(CHILD_VARIABLE).is_ok_and(|scenario| scenario == name)
}

/// Runs a test of this program in a child process, and returns its exit code.
fn run_child(name: &str) -> Option<i32> {
    let program = std::env::current_exe().expect("this program has a path");
    let mut command = Command::new(program);
    command
        .args(["--exact", name, "--nocapture"])
        .env(CHILD_VARIABLE, name);
    let mut child = command.spawn().expect("the child process starts");
    let end = Instant::now() + CHILD_TIMEOUT;
    while Instant::now() < end {
        if let Some(status) = child.try_wait().expect("can wait for the child") {
            return status.code();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("can end the child");
    child.wait().expect("can wait for the child");
    panic!("the child process has not ended after {CHILD_TIMEOUT:?}");
}

/// Guards against callers that wait for a second because many others connect at the same time.
#[test]
fn many_callers_connect_at_once() {
    const CALLERS: usize = 1_000;
    let (_listener, address) = bind(([127, 0, 0, 1], 0).into()).expect("the port is free");
    let began = Instant::now();
    let connect = |_| TcpStream::connect(address).expect("the connection is accepted");
    let connections: Vec<_> = (0..CALLERS).map(connect).collect();
    let took = began.elapsed();
    assert!(took < Duration::from_millis(900), "{took:?}");
    assert_eq!(connections.len(), CALLERS);
}

/// Guards against an accept loop that takes a whole core, or stops, for lack of descriptors.
#[test]
fn accept_waits_until_descriptors_are_free() {
    let name = "accept_waits_until_descriptors_are_free";
    if !is_child(name) {
        assert_eq!(run_child(name), Some(0));
        return;
    }
    let (mut listener, address) = listener();
    let _caller = TcpStream::connect(address).expect("the connection is accepted");
    let hard = getrlimit(Resource::Nofile).maximum;
    let limit = Rlimit {
        current: Some(64),
        maximum: hard,
    };
    setrlimit(Resource::Nofile, limit).expect("can lower the limit");
    let used: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    assert!(!used.is_empty());

    let cpu_time = || {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    };
    let before = cpu_time();
    let accept = async { Some(listener.accept().await) };
    let timeout = async {
        Timer::after(FAILS_FOR).await;
        None
    };
    let accepted = smol::block_on(or(accept, timeout));
    assert!(accepted.is_none(), "accept reports an error to the loop");
    let cpu_time = cpu_time() - before;
    assert!(cpu_time < FAILS_FOR / 10, "{cpu_time:?}");

    drop(used);
    smol::block_on(listener.accept()).expect("the connection is accepted");
    smol::block_on(listener.clean_up());
}

/// Guards against a daemon that accepts no connections any more and reports to be ready.
#[test]
fn an_accept_loop_that_ends_ends_the_process() {
    let name = "an_accept_loop_that_ends_ends_the_process";
    if is_child(name) {
        let (listener, _) = listener();
        drop(listener);
        return;
    }
    assert_eq!(run_child(name), Some(FATAL_EXIT_CODE));
}

/// Guards against a daemon that exits with an error when it is stopped.
#[test]
fn an_accept_loop_that_is_shut_down_leaves_the_process_running() {
    let (listener, _) = listener();
    smol::block_on(listener.clean_up());
}
