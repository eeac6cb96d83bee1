//! Settings of the process: who it is, where it listens, its bounds.

use std::net::SocketAddr;
use std::time::Duration;

use super::reader::Reader;

/// Threads that run tasks, without another word.
const DEFAULT_THREADS: usize = 4;

/// Sections `[daemon]`, `[listen]`, `[platform]`, `[operators]`, `[limits]`,
/// `[log]` and `[metrics]`.
#[derive(Clone, Debug, PartialEq)]
pub struct DaemonSettings {
    /// Name of the daemon, unique in the fleet.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Peers that it asks first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// Threads that run tasks.
    pub threads: usize,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the daemon is ready, if not with the callers.
    pub ready: Option<SocketAddr>,
    /// Where operators come in.
    pub operators: SocketAddr,
    /// Where peers come in.
    pub peers: SocketAddr,
    /// Where the platform's object API listens.
    pub platform: SocketAddr,
    /// SHA-256 of the operators' token, in hexadecimal.
    pub token_sha256: String,
    /// Bounds for callers.
    pub limits: LimitSettings,
    /// File to log to; the standard output if there is none.
    pub log_file: Option<String>,
    /// Lowest level that is logged.
    pub log_level: log::LevelFilter,
    /// Where metrics are sent by UDP in the statsd format.
    pub statsd: Option<SocketAddr>,
}

/// Section `[limits]`: bounds for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Bytes of a request's line and headers.
    pub max_head_bytes: usize,
    /// Connections of callers at a time.
    pub max_connections: usize,
    /// Time for a caller to send its whole body.
    pub body_timeout: Duration,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: Duration,
    /// How long a stop waits for requests in progress.
    pub stop_within: Duration,
    /// How long a daemon that was told to stop still takes requests, so that the
    /// balancer can see that it is no longer ready; not at all without.
    pub linger: Option<Duration>,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 * 1024 * 1024,
            max_head_bytes: 16 * 1024,
            max_connections: 2_000,
            body_timeout: Duration::from_secs(10),
            default_deadline: Duration::from_secs(120),
            max_deadline: Duration::from_secs(3_600),
            stop_within: Duration::from_secs(300),
            linger: None,
        }
    }
}

impl DaemonSettings {
    /// Reads the sections of the process.
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
            let message = format!("token_sha256 can't be {token_sha256:?}");
            let mend = "write 64 hexadecimal digits: printf %s TOKEN | sha256sum";
            section.problem("token_sha256", message, mend);
        }
        let mut section = reader.section("log");
        let log_file = section.optional_text("file");
        let log_level = read_level(&mut section);
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
        settings.check_ports(reader);
        settings
    }

    fn check_ports(&self, reader: &mut Reader) {
        let listeners = [
            ("callers", self.callers),
            ("operators", self.operators),
            ("peers", self.peers),
        ];
        for (index, (key, address)) in listeners.iter().enumerate() {
            let twin = listeners[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = twin {
                let message = format!("{key} and {other} both listen on {address}");
                let mend = "give each its own port".to_owned();
                reader.problem("listen", Some(key), message, mend);
            }
        }
    }
}

fn read_level(section: &mut super::reader::Section<'_>) -> log::LevelFilter {
    let Some(text) = section.optional_text("level") else {
        return log::LevelFilter::Info;
    };
    text.parse().unwrap_or_else(|_| {
        let message = format!("level can't be {text:?}");
        section.problem("level", message, "write error, warn, info or debug");
        log::LevelFilter::Info
    })
}

impl LimitSettings {
    /// Reads section `[limits]`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("limits");
        let default = Self::default();
        Self {
            max_body_bytes: section.count("max_body_bytes", default.max_body_bytes),
            max_head_bytes: section.count("max_head_bytes", default.max_head_bytes),
            max_connections: section.count("max_connections", default.max_connections),
            body_timeout: section.duration("body_timeout", default.body_timeout),
            default_deadline: section.duration("default_deadline", default.default_deadline),
            max_deadline: section.duration("max_deadline", default.max_deadline),
            stop_within: section.duration("stop_within", default.stop_within),
            linger: section.optional_duration("linger"),
        }
    }
}
