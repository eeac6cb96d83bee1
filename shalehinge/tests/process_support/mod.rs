//! Daemons as processes of their own, before stand-ins in this one.
//!
//! Nothing is waited for by time: a condition is polled, with a generous bound.
//! Every process that was started is ended by its id, also when a test fails.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
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

const TOKEN: &str = "token";
pub const KEY: &str = "key";
const BOUND: Duration = Duration::from_secs(120);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn sha256(text: &str) -> String {
    use sha2::Digest;
    hex(&sha2::Sha256::digest(text.as_bytes()))
}

/// Polls until the condition gives something.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + BOUND;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "waited too long: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// An answer over HTTP/1.1, read to the end of the connection.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Sends bytes as they are and reads what comes back.
pub fn send_raw(to: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(to).expect("connects");
    stream.set_read_timeout(Some(BOUND)).expect("a timeout");
    stream.write_all(bytes).expect("sends");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Answer {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body: body.to_owned(),
    }
}

pub fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("\r\n");
    request.push_str(body);
    send_raw(to, request.as_bytes())
}

pub fn chat_body(max_tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model": "m", "max_tokens": {max_tokens}, "stream": {stream}, "messages": [{{"role": "user", "content": "dial"}}]}}"#
    )
}

/// Sends a chat request, and again when it was told to come back: on a busy
/// machine a report may be late, and its replica is out of routing until the next.
pub fn chat(to: SocketAddr, headers: &[(&str, &str)], body: &str) -> Answer {
    let bearer = format!("Bearer {KEY}");
    let mut all = vec![("Authorization", bearer.as_str())];
    all.extend_from_slice(headers);
    wait_for("a replica is in routing", || {
        let answer = exchange(to, "POST", "/v1/chat/completions", &all, body);
        let is_for_later = answer.status == 503 && answer.body.contains("no_upstream");
        (!is_for_later).then_some(answer)
    })
}

/// A daemon's process.
pub struct DaemonProcess {
    child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub log: PathBuf,
}

impl DaemonProcess {
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("killed");
        self.child.wait().expect("ended");
    }

    pub fn wait(&mut self) -> std::process::ExitStatus {
        wait_for("the daemon ends", || self.child.try_wait().expect("waits"))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn status(&self) -> Option<FleetStatus> {
        let answer = self.operate("GET", "/v1/status", "");
        serde_json::from_str(&answer.body).ok()
    }

    pub fn eligible(&self) -> usize {
        let status = self.status();
        let models = status.map(|status| status.models).unwrap_or_default();
        models.iter().map(|model| model.eligible_here).sum()
    }

    pub fn operate(&self, method: &str, path: &str, body: &str) -> Answer {
        let bearer = format!("Bearer {TOKEN}");
        let headers = [("Authorization", bearer.as_str())];
        exchange(self.operators, method, path, &headers, body)
    }

    pub fn change(&self, change: &Change, operation: u64) -> OperatorAnswer {
        let body = serde_json::to_string(change).expect("JSON");
        let answer = self.operate("POST", "/v1/plan", &body);
        let planned: OperatorAnswer = serde_json::from_str(&answer.body).expect("an answer");
        let OperatorAnswer::Planned(plan) = planned else {
            return planned;
        };
        let confirm = Confirm {
            change: plan.change,
            base: plan.base,
            digest: plan.digest,
            operation: OperationId(operation),
        };
        let body = serde_json::to_string(&confirm).expect("JSON");
        let answer = self.operate("POST", "/v1/confirm", &body);
        serde_json::from_str(&answer.body).expect("an answer")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Stand-ins in this process, and a folder for files.
pub struct Fleet {
    pub platform: SocketAddr,
    pub engines: Vec<RunningEngine>,
    pub service: SocketAddr,
    folder: PathBuf,
    next_daemon: u32,
}

impl Fleet {
    /// A failure domain of so many hosts, without daemons yet.
    pub fn new(name: &str, hosts: u32) -> Self {
        let (platform, _) = standin::platform::spawn(any_port()).expect("a platform");
        let engines = spawn_engines(&EngineArguments {
            host: "h".into(),
            listen: any_port(),
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
            listen: any_port(),
            delay_ms: 1,
        };
        let (service, _) = standin::service::spawn(&service).expect("a service");
        let folder = std::env::temp_dir().join(format!("shalehinge-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self {
            platform,
            engines: engines.expect("engines"),
            service,
            folder,
            next_daemon: 0,
        }
    }

    /// Starts a daemon that asks these peers first.
    pub fn daemon(&mut self, seeds: &[SocketAddr]) -> DaemonProcess {
        let number = self.next_daemon;
        self.next_daemon += 1;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let log = self.folder.join(format!("entry-{number}.log"));
        let settings = format!(
            "[daemon]\nname = entry-{number}\nfailure_domain = d\nseeds = {}\n\
             [listen]\ncallers = 127.0.0.1:0\noperators = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
             [platform]\naddress = {}\n[operators]\ntoken_sha256 = {}\n\
             [limits]\nmax_body_bytes = 20000\nbody_timeout = 1s\n[log]\nfile = {}\n",
            seeds.join(", "),
            self.platform,
            sha256(TOKEN),
            log.display()
        );
        let path = self.folder.join(format!("entry-{number}.ini"));
        std::fs::write(&path, settings).expect("settings written");
        let child = Command::new(env!("CARGO_BIN_EXE_shalehinged"))
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let addresses = wait_for("the daemon listens", || listens_on(&log));
        let [callers, operators, peers] = addresses;
        DaemonProcess {
            child,
            callers,
            operators,
            peers,
            log,
        }
    }

    /// A daemon, a customer, a plain service, and one replica of two hosts.
    pub fn serving(&mut self) -> DaemonProcess {
        let daemon = self.daemon(&[]);
        wait_for("the daemon answers operators", || daemon.status());
        self.configure(&daemon);
        wait_for("the replica is in routing", || {
            (daemon.eligible() == 1).then_some(())
        });
        daemon
    }

    fn configure(&self, daemon: &DaemonProcess) {
        let mut configuration = Configuration::default();
        let customer = CustomerConfig {
            key_sha256: vec![sha256(KEY)],
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
        let answer = daemon.change(&configure, 1);
        assert!(
            matches!(answer, OperatorAnswer::Confirmed { .. }),
            "{answer:?}"
        );
        let intent = Change::Intent {
            model: ModelName::new("m"),
            version: ModelVersion::new("v1"),
            replicas: 1,
            hosts_per_replica: 2,
            owner: Customer::new("c"),
        };
        let answer = daemon.change(&intent, 2);
        assert!(
            matches!(answer, OperatorAnswer::Confirmed { .. }),
            "{answer:?}"
        );
    }

    pub fn platform_fault(&self, fault: PlatformFault) {
        let body = serde_json::to_string(&fault).expect("JSON");
        let answer = exchange(self.platform, "PUT", "/admin/fault", &[], &body);
        assert_eq!(answer.status, 204);
    }

    /// The platform copies all that it keeps, or is restored from its copy.
    fn platform_admin(&self, what: &str) {
        let path = format!("/admin/{what}");
        let answer = exchange(self.platform, "PUT", &path, &[], "");
        assert_eq!(answer.status, 204);
    }

    pub fn copy_platform(&self) {
        self.platform_admin("copy");
    }

    /// What the platform took since its copy is lost, and versions are given out anew.
    pub fn restore_platform(&self) {
        self.platform_admin("restore");
    }

    pub fn engine_fault(&self, fault: EngineFault) {
        let body = serde_json::to_string(&fault).expect("JSON");
        for engine in &self.engines {
            let answer = exchange(engine.address, "PUT", "/admin/fault", &[], &body);
            assert_eq!(answer.status, 204);
        }
    }

    pub fn service_fault(&self, fault: &ServiceFault) {
        let body = serde_json::to_string(fault).expect("JSON");
        let answer = exchange(self.service, "PUT", "/admin/fault", &[], &body);
        assert_eq!(answer.status, 204);
    }

    /// How often the plain service was called with a key.
    pub fn service_calls(&self, key: &str) -> u64 {
        let answer = exchange(self.service, "GET", "/admin/calls", &[], "");
        let calls: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
        calls[key].as_u64().unwrap_or(0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn listens_on(log: &PathBuf) -> Option<[SocketAddr; 3]> {
    let text = std::fs::read_to_string(log).ok()?;
    let line = text
        .lines()
        .find(|line| line.contains("listens to callers"))?;
    let words = line.split([' ', ',']);
    let addresses: Vec<SocketAddr> = words.filter_map(|word| word.parse().ok()).collect();
    addresses.try_into().ok()
}
