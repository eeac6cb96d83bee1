//! A relay between daemons and the stand-in platform that holds back chosen writes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use super::{Response, send_request};

/// A call as the relay received it.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub body: Vec<u8>,
    /// Head and body, as received.
    bytes: Vec<u8>,
}

impl Call {
    /// Reads a call; `None` at the end of the connection.
    fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut bytes = Vec::new();
        let mut length = 0;
        loop {
            let start = bytes.len();
            if reader.read_until(b'\n', &mut bytes).ok()? == 0 {
                return None;
            }
            let line = String::from_utf8_lossy(&bytes[start..]).to_ascii_lowercase();
            if let Some(text) = line.strip_prefix("content-length:") {
                length = text.trim().parse().ok()?;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let mut parts = head.split(' ');
        let method = parts.next()?.to_owned();
        let target = parts.next()?.to_owned();
        bytes.extend_from_slice(&body);
        Some(Self {
            method,
            target,
            body,
            bytes,
        })
    }

    /// Sends the call to the platform.
    pub fn send(&self, platform: SocketAddr) -> Response {
        let body = String::from_utf8_lossy(&self.body);
        send_request(platform, &self.method, &self.target, &[], &body)
    }
}

#[derive(Default)]
struct State {
    /// Beginning of the targets of the writes to hold back.
    held_prefix: Option<String>,
    held: Vec<Call>,
}

/// A running relay.
pub struct HoldingRelay {
    /// Address that the relay listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl HoldingRelay {
    /// Starts a relay to the platform.
    pub fn start(platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("can bind a port");
        let address = listener.local_addr().expect("listener has an address");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || relay(&shared, stream, platform));
            }
        });
        Self { address, state }
    }

    /// Holds back the writes whose target begins with `prefix`: they get no response.
    pub fn hold_writes(&self, prefix: &str) {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        state.held_prefix = Some(prefix.to_owned());
    }

    /// The writes that were held back.
    pub fn held_writes(&self) -> Vec<Call> {
        let state = self.state.lock().expect("mutex is not poisoned");
        state.held.clone()
    }
}

/// Relays the calls of one connection until one is held back.
fn relay(state: &Mutex<State>, client: TcpStream, platform: SocketAddr) {
    let upstream = TcpStream::connect(platform).expect("can connect to the platform");
    let mut responses = upstream.try_clone().expect("stream is cloned");
    let mut writer = client.try_clone().expect("stream is cloned");
    std::thread::spawn(move || {
        let _ = std::io::copy(&mut responses, &mut writer);
        let _ = writer.shutdown(Shutdown::Both);
    });
    let mut upstream = upstream;
    let mut reader = BufReader::new(client);
    while let Some(call) = Call::read(&mut reader) {
        if hold(state, &call) {
            // The connection says nothing further, until the other side closes it.
            while Call::read(&mut reader).is_some() {}
            break;
        }
        if upstream.write_all(&call.bytes).is_err() {
            break;
        }
    }
    let _ = upstream.shutdown(Shutdown::Both);
}

/// Keeps the call if it is to be held back; returns whether it is.
fn hold(state: &Mutex<State>, call: &Call) -> bool {
    let mut state = state.lock().expect("mutex is not poisoned");
    let prefix = state.held_prefix.as_ref();
    let is_held = call.method == "PUT" && prefix.is_some_and(|p| call.target.starts_with(p));
    if is_held {
        state.held.push(call.clone());
    }
    is_held
}
