//! Settings of the daemon process: identity, listen addresses, limits, logs and metrics.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::Reader;

/// Default number of executor threads.
const DEFAULT_THREADS: usize = 4;

/// Memory of a process whose settings name none. Without any bound, long bodies of callers that a
/// load balancer sends to one daemon end the process.
const DEFAULT_MEMORY: u64 = 256_000_000;
/// Least memory of a process: below it hardly anything is left for bodies.
const MIN_MEMORY: u64 = 64_000_000;

/// Sections `[daemon]`, `[listen]`, `[platform]`, `[operators]`, `[limits]`,
/// `[log]` and `[metrics]`.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Name of the daemon; must be unique in the fleet.
    pub name: String,
    /// Failure domain of the entry host.
    pub failure_domain: String,
    /// Peers that the daemon contacts first to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet.
    pub first_start: bool,
    /// Number of executor threads.
    pub threads: usize,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks, if separate from `callers`.
    pub ready: Option<SocketAddr>,
    /// Listen address for operators.
    pub operators: SocketAddr,
    /// Listen address for other daemons.
    pub peers: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// SHA-256 of the operators' bearer token, as 64 hexadecimal digits.
    pub token_sha256: String,
    /// Limits for callers.
    pub limits: LimitSettings,
    /// Log file; logs go to standard output without one.
    pub log_file: Option<String>,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Address that metrics are sent to in the statsd format over UDP.
    pub statsd: Option<SocketAddr>,
}

/// Section `[limits]`: limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request line with its headers, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Memory that the process may use, in bytes. It bounds what is held for callers and upstreams.
    pub memory: u64,
    /// How long callers, operators and peers may take to send a complete request head, from its
    /// first byte.
    pub head_timeout: Duration,
    /// How long callers, operators and peers may take to send the complete request body.
    pub body_timeout: Duration,
    /// Time to the deadline of a request that doesn't specify one.
    pub default_deadline: Duration,
    /// Maximum time to the deadline that a request may specify.
    pub max_deadline: Duration,
    /// How long a shutdown waits for requests in progress.
    pub stop_within: Duration,
    /// How long a daemon continues to accept requests after it was asked to stop, so that the
    /// load balancer notices that it is no longer ready; without it, the shutdown begins
    /// immediately.
    pub linger: Option<Duration>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_head_bytes: 16 * 1024,
            max_connections: 2_000,
            memory: DEFAULT_MEMORY,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            default_deadline: Duration::from_secs(120),
            max_deadline: Duration::from_secs(3_600),
            stop_within: Duration::from_secs(300),
            linger: None,
        }
    }
}

impl DaemonSettings {
    /// Reads all sections of the daemon process; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("daemon");
        let name = section.text("name", "entry-1");
        let failure_domain = section.text("failure_domain", "talca-a");
        let seeds = section.addresses("seeds");
        let first_start = section.flag("first_start", false);
        let threads = section.count("threads", DEFAULT_THREADS);
        let mut section = reader.section("listen");
        let callers = section.address("callers");
        let ready = section.optional_address("ready");
        let operators = section.address("operators");
        let peers = section.address("peers");
        let mut section = reader.section("platform");
        let platform = section.address("address");
        let mut section = reader.section("operators");
        let token_sha256 = section.text("token_sha256", "the output of `sha256sum`");
        let is_hash = token_sha256.len() == 64;
        if !is_hash && !token_sha256.is_empty() {
            let message = format!("invalid token_sha256 {token_sha256:?}");
            let help = "specify 64 hexadecimal digits, the output of: printf %s TOKEN | sha256sum";
            section.report_problem("token_sha256", message, help);
        }
        let mut section = reader.section("log");
        let log_file = section.optional_text("file");
        let log_level = read_log_level(&mut section);
        let mut section = reader.section("metrics");
        let statsd = section.optional_address("statsd");
        let limits = LimitSettings::read(reader);
        let settings = Self {
            name,
            failure_domain,
            seeds,
            first_start,
            threads,
            callers,
            ready,
            operators,
            peers,
            platform,
            token_sha256,
            limits,
            log_file,
            log_level,
            statsd,
        };
        settings.check_listen_addresses(reader);
        settings
    }

    fn check_listen_addresses(&self, reader: &mut Reader) {
        let listeners = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("peers", self.peers),
        ];
        for (index, (key, address)) in listeners.iter().enumerate() {
            let duplicate = listeners[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = duplicate {
                let message = format!("{key} and {other} both listen on {address}");
                let help = "use a different port for each".to_owned();
                reader.report_problem("listen", Some(key), message, help);
            }
        }
    }
}

fn read_log_level(section: &mut super::reader::Section<'_>) -> log::LevelFilter {
    let Some(text) = section.optional_text("level") else {
        return log::LevelFilter::Info;
    };
    text.parse().unwrap_or_else(|_| {
        let message = format!("invalid level {text:?}");
        section.report_problem("level", message, "use error, warn, info or debug");
        log::LevelFilter::Info
    })
}

impl LimitSettings {
    /// Reads section `[limits]`; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("limits");
        let default = Self::default();
        Self {
            max_body_bytes: section.count("max_body_bytes", default.max_body_bytes),
            max_head_bytes: section.count("max_head_bytes", default.max_head_bytes),
            max_connections: section.count("max_connections", default.max_connections),
            memory: section.size("memory", MIN_MEMORY, default.memory),
            head_timeout: section.duration("head_timeout", default.head_timeout),
            body_timeout: section.duration("body_timeout", default.body_timeout),
            default_deadline: section.duration("default_deadline", default.default_deadline),
            max_deadline: section.duration("max_deadline", default.max_deadline),
            stop_within: section.duration("stop_within", default.stop_within),
            linger: section.optional_duration("linger"),
        }
    }
}
