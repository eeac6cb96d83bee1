//! Runs daemons as separate processes against stand-ins for the platform, engines and services
//! in the test process.
//!
//! Tests poll for conditions, with a generous time-out, instead of sleeping for fixed times.
//! Every daemon process is killed when its handle is dropped, also when a test fails.

#![allow(dead_code)] // Each test file uses a part of it.

pub mod holding_relay;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use shalehinge::core::change::{Change, Configuration};
use shalehinge::core::objects::{CallPattern, CustomerConfig, ServiceConfig, ServiceUpstream};
use shalehinge::core::operator::{Confirm, OperatorAnswer, hex};
use shalehinge::core::types::{
    Customer, FailureDomain, HostId, ModelName, ModelVersion, OperationId, ServiceName,
};
use shalehinge::operator_api::FleetStatus;
use standin::engine::EngineArguments;
use standin::engine::faults::EngineFault;
use standin::engine::server::{RunningEngine, spawn as spawn_engines};
use standin::platform::store::PlatformFault;
use standin::service::{ServiceArguments, ServiceFault};

/// The operators' token.
const OPERATOR_TOKEN: &str = "token";
/// API key of the customer `c` in the test configuration.
pub const API_KEY: &str = "key";
/// Time-out of each wait and read. It is generous, as the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// A loopback address with a port that the system chooses.
fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The SHA-256 digest of a text, in hexadecimal digits.
fn sha256(text: &str) -> String {
    use sha2::Digest;
    hex(&sha2::Sha256::digest(text.as_bytes()))
}

/// Polls until the condition returns a value.
///
/// # Panics
///
/// Panics with `condition_name` if the condition returns no value within the time-out.
pub fn wait_for<T>(condition_name: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            Instant::now() < end,
            "timed out waiting until {condition_name}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An HTTP/1.1 response, read until the connection is closed.
#[derive(Debug)]
pub struct Response {
    /// HTTP status; 0 if the status line can't be parsed.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// Everything after the headers, without decoding of chunked bodies.
    pub body: String,
}

impl Response {
    /// Value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }

    /// Values of all headers with this name, ignoring case.
    pub fn header_values(&self, name: &str) -> Vec<String> {
        header_values(&self.head, name)
    }
}

/// Sends raw bytes and reads the response.
pub fn send_raw_request(to: SocketAddr, bytes: &[u8]) -> Response {
    let mut stream = TcpStream::connect(to).expect("can connect");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("can set a read time-out");
    stream.write_all(bytes).expect("can send the request");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Response {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

/// Sends a request and reads the response.
pub fn send_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    send_raw_request(to, request.as_bytes())
}

/// A plain service that gives every request without a body the same response.
pub struct FixedService {
    /// Address that it listens on.
    pub address: SocketAddr,
    request_heads: Arc<Mutex<Vec<String>>>,
}

impl FixedService {
    /// Starts a service that responds with these bytes.
    pub fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind(loopback_any_port()).expect("can listen");
        let address = listener.local_addr().expect("has an address");
        let request_heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let heads = Arc::clone(&request_heads);
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let head = read_request_head(&stream);
                heads.lock().expect("not poisoned").push(head);
                let _ = stream.write_all(response.as_bytes());
            }
        });
        Self {
            address,
            request_heads,
        }
    }

    /// The request targets received so far, in order.
    pub fn received_targets(&self) -> Vec<String> {
        let heads = self.request_heads.lock().expect("not poisoned");
        let targets = heads.iter().filter_map(|head| head.split(' ').nth(1));
        targets.map(str::to_owned).collect()
    }

    /// Values of a header of the last request, one for each line, ignoring the case of names.
    pub fn received_values(&self, name: &str) -> Vec<String> {
        let heads = self.request_heads.lock().expect("not poisoned");
        header_values(heads.last().map_or("", String::as_str), name)
    }
}

/// Reads up to the empty line after the headers.
fn read_request_head(stream: &TcpStream) -> String {
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    let lines: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
    lines.join("\r\n")
}

/// Values of all header lines with this name in a head, ignoring case.
fn header_values(head: &str, name: &str) -> Vec<String> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields
        .filter(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
        .collect()
}

/// Body of a chat completion request for the model `m`.
pub fn chat_request_body(max_tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model": "m", "max_tokens": {max_tokens}, "stream": {stream}, "messages": [{{"role": "user", "content": "dial"}}]}}"#
    )
}

/// Sends a chat request and retries while no replica is available: on a busy machine a status
/// report may be late, which takes the replica out of routing until the next one.
pub fn send_chat(to: SocketAddr, headers: &[(&str, &str)], body: &str) -> Response {
    let authorization = format!("Bearer {API_KEY}");
    let mut all = vec![("Authorization", authorization.as_str())];
    all.extend_from_slice(headers);
    wait_for("a replica is in routing", || {
        let response = send_request(to, "POST", "/v1/chat/completions", &all, body);
        let is_retryable = response.status == 503 && response.body.contains("no_upstream");
        (!is_retryable).then_some(response)
    })
}

/// A running daemon process; killed on drop.
pub struct DaemonProcess {
    child: Child,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for peers.
    pub peers: SocketAddr,
    /// Path of the log file.
    pub log_path: PathBuf,
}

impl DaemonProcess {
    /// Sends a signal, named as an option of `kill`, such as `-TERM`.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("can run kill").success());
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("can kill the daemon");
        self.child.wait().expect("can wait for the daemon");
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> std::process::ExitStatus {
        wait_for("the daemon ends", || {
            self.child.try_wait().expect("can wait for the daemon")
        })
    }

    /// The exit status, if the process has ended.
    pub fn try_wait(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("can wait for the daemon")
    }

    /// The log so far; empty if there is none.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// The fleet's status by the operator API, or `None` if the response can't be parsed.
    pub fn status(&self) -> Option<FleetStatus> {
        let response = self.send_operator_request("GET", "/v1/status", "");
        serde_json::from_str(&response.body).ok()
    }

    /// Number of replicas that are in routing at this daemon.
    pub fn eligible_replicas(&self) -> usize {
        let status = self.status();
        let models = status.map(|status| status.models).unwrap_or_default();
        models.iter().map(|model| model.eligible_here).sum()
    }

    /// Sends a request to the operator API.
    pub fn send_operator_request(&self, method: &str, path: &str, body: &str) -> Response {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", authorization.as_str())];
        send_request(self.operators, method, path, &headers, body)
    }

    /// Plans a change and confirms the plan under the given operation id. Returns the answer to
    /// the confirmation, or the answer to the plan if that was rejected.
    pub fn apply_change(&self, change: &Change, operation: u64) -> OperatorAnswer {
        let body = serde_json::to_string(change).expect("valid JSON");
        let response = self.send_operator_request("POST", "/v1/plan", &body);
        let planned: OperatorAnswer =
            serde_json::from_str(&response.body).expect("an operator answer");
        let OperatorAnswer::Planned(plan) = planned else {
            return planned;
        };
        let confirm = Confirm {
            change: plan.change,
            base: plan.base,
            digest: plan.digest,
            operation: OperationId(operation),
        };
        let body = serde_json::to_string(&confirm).expect("valid JSON");
        let response = self.send_operator_request("POST", "/v1/confirm", &body);
        serde_json::from_str(&response.body).expect("an operator answer")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins in the test process, and a directory for settings and logs of daemons.
pub struct Fleet {
    /// Address of the stand-in platform.
    pub platform: SocketAddr,
    /// The stand-in engines, one per host.
    pub engines: Vec<RunningEngine>,
    /// Address of the stand-in for a plain service.
    pub service: SocketAddr,
    /// How long daemons wait for a request's body.
    pub body_timeout: Duration,
    /// Further lines of section `[limits]` in the settings of daemons.
    pub limits: String,
    directory: PathBuf,
    next_daemon: u32,
}

impl Fleet {
    /// Starts a failure domain with the given number of hosts and no daemons. `name` distinguishes
    /// the directories of the tests.
    pub fn new(name: &str, hosts: u32) -> Self {
        let (platform, _) =
            standin::platform::spawn(loopback_any_port()).expect("can start the platform");
        let engines = spawn_engines(&EngineArguments {
            host: "h".into(),
            listen: loopback_any_port(),
            failure_domain: "d".into(),
            fabric_domain: "f".into(),
            accelerators: 8,
            platform,
            count: hosts,
            load_ms: 50,
            ignore_fences: false,
            slots: 32,
            step_ms: 5,
            sequence_us: 400,
        });
        let service = ServiceArguments {
            listen: loopback_any_port(),
            delay_ms: 1,
        };
        let (service, _) = standin::service::spawn(&service).expect("can start the service");
        let directory =
            std::env::temp_dir().join(format!("shalehinge-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("can create the directory");
        Self {
            platform,
            engines: engines.expect("can start the engines"),
            service,
            body_timeout: Duration::from_secs(1),
            limits: String::new(),
            directory,
            next_daemon: 0,
        }
    }

    /// Starts a daemon with the given peers as seeds and waits until it listens.
    pub fn start_daemon(&mut self, seeds: &[SocketAddr]) -> DaemonProcess {
        self.start_daemon_by(seeds, |settings| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_shalehinged"));
            command.arg(settings);
            command
        })
    }

    /// Like [`Fleet::start_daemon`], with the command that `command` returns for the path of a
    /// settings file.
    pub fn start_daemon_by(
        &mut self,
        seeds: &[SocketAddr],
        command: impl FnOnce(&Path) -> Command,
    ) -> DaemonProcess {
        let number = self.next_daemon;
        self.next_daemon += 1;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let log = self.directory.join(format!("entry-{number}.log"));
        let settings = format!(
            "[daemon]\nname = entry-{number}\nfailure_domain = d\nseeds = {}\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [platform]\naddress = {}\n[operators]\ntoken_sha256 = {}\n\
             [limits]\nmax_body_bytes = 20000\nbody_timeout = {}s\n{}\n[log]\nfile = {}\n",
            seeds.join(", "),
            self.platform,
            sha256(OPERATOR_TOKEN),
            self.body_timeout.as_secs(),
            self.limits,
            log.display()
        );
        let path = self.directory.join(format!("entry-{number}.ini"));
        std::fs::write(&path, settings).expect("can write the settings");
        let child = command(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("can start the daemon");
        let addresses = wait_for("the daemon listens", || listen_addresses(&log));
        let [callers, operators, peers] = addresses;
        DaemonProcess {
            child,
            callers,
            operators,
            peers,
            log_path: log,
        }
    }

    /// Starts a daemon, configures a customer, a plain service and one replica of two hosts, and
    /// waits until the replica is in routing.
    pub fn start_serving_daemon(&mut self) -> DaemonProcess {
        let daemon = self.start_daemon(&[]);
        wait_for("the daemon answers operators", || daemon.status());
        self.configure(&daemon);
        wait_for("the replica is in routing", || {
            (daemon.eligible_replicas() == 1).then_some(())
        });
        daemon
    }

    /// Configures a customer, a plain service and one replica of two hosts.
    pub fn configure(&self, daemon: &DaemonProcess) {
        let mut configuration = Configuration::default();
        let customer = CustomerConfig {
            key_sha256: vec![sha256(API_KEY)],
            share: 1,
            rank: None,
        };
        configuration.customers.insert(Customer::new("c"), customer);
        let service = ServiceConfig {
            path_prefix: "/rutas".into(),
            upstreams: vec![ServiceUpstream {
                host: HostId::new("s"),
                address: self.service,
                failure_domain: FailureDomain::new("d"),
            }],
            not_repeatable: vec![CallPattern {
                method: "POST".into(),
                path_prefix: "/rutas/avisos".into(),
            }],
            is_listed: false,
        };
        configuration
            .services
            .insert(ServiceName::new("rutas-app"), service);
        let configure = Change::Configure(Box::new(configuration));
        let response = daemon.apply_change(&configure, 1);
        assert!(
            matches!(response, OperatorAnswer::Confirmed { .. }),
            "{response:?}"
        );
        let intent = Change::Intent {
            model: ModelName::new("m"),
            version: ModelVersion::new("v1"),
            replicas: 1,
            hosts_per_replica: 2,
            owner: Customer::new("c"),
        };
        let response = daemon.apply_change(&intent, 2);
        assert!(
            matches!(response, OperatorAnswer::Confirmed { .. }),
            "{response:?}"
        );
    }

    /// Sets the fault of the platform.
    pub fn set_platform_fault(&self, fault: PlatformFault) {
        let body = serde_json::to_string(&fault).expect("valid JSON");
        let response = send_request(self.platform, "PUT", "/admin/fault", &[], &body);
        assert_eq!(response.status, 204);
    }

    /// Calls an admin operation of the platform: `copy` takes a backup, `restore` restores it.
    fn call_platform_admin(&self, operation: &str) {
        let path = format!("/admin/{operation}");
        let response = send_request(self.platform, "PUT", &path, &[], "");
        assert_eq!(response.status, 204);
    }

    /// Takes a backup of the platform's store.
    pub fn back_up_platform(&self) {
        self.call_platform_admin("copy");
    }

    /// Restores the platform's store from its backup. Writes since the backup are lost, and their
    /// versions are assigned again.
    pub fn restore_platform(&self) {
        self.call_platform_admin("restore");
    }

    /// Sets the fault of all engines.
    pub fn set_engine_fault(&self, fault: EngineFault) {
        let body = serde_json::to_string(&fault).expect("valid JSON");
        for engine in &self.engines {
            let response = send_request(engine.address, "PUT", "/admin/fault", &[], &body);
            assert_eq!(response.status, 204);
        }
    }

    /// Sets the fault of the plain service.
    pub fn set_service_fault(&self, fault: &ServiceFault) {
        let body = serde_json::to_string(fault).expect("valid JSON");
        let response = send_request(self.service, "PUT", "/admin/fault", &[], &body);
        assert_eq!(response.status, 204);
    }

    /// Number of calls that the plain service received with a key.
    pub fn service_calls(&self, key: &str) -> u64 {
        let response = send_request(self.service, "GET", "/admin/calls", &[], "");
        let calls: serde_json::Value = serde_json::from_str(&response.body).expect("valid JSON");
        calls[key].as_u64().unwrap_or(0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Reads the addresses for callers, operators and peers from the log, once the daemon listens.
fn listen_addresses(log: &PathBuf) -> Option<[SocketAddr; 3]> {
    let text = std::fs::read_to_string(log).ok()?;
    let line = text
        .lines()
        .find(|line| line.contains("listens to callers"))?;
    let words = line.split([' ', ',']);
    let addresses: Vec<SocketAddr> = words.filter_map(|word| word.parse().ok()).collect();
    addresses.try_into().ok()
}
