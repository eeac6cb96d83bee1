//! Client that sends one streamed request and measures the latency of each token.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::{AsyncBufReadExt, StreamExt, io::BufReader};
use shalehinge::utils::http::url;
use shalehinge::utils::time::wall_clock;
use trillium_client::Client;

use super::LoadArguments;

/// A request to send.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    address: SocketAddr,
    key: String,
    body: String,
}

/// Result of a streamed request.
#[derive(Clone, Debug, Default)]
pub struct StreamResult {
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Whether the `[DONE]` event was received.
    pub is_complete: bool,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Time from emission by the engine to receipt, for each token that states when it was
    /// emitted. Requires both processes to share a wall clock.
    pub transit_times: Vec<Duration>,
    /// Times between consecutive tokens.
    pub token_intervals: Vec<Duration>,
}

impl StreamRequest {
    /// Returns a request whose prompt starts with `salt`, so that prompts don't share a prefix.
    pub fn new(arguments: &LoadArguments, salt: u64) -> Self {
        let mut prompt = format!("{salt:016x} ");
        while prompt.len() < arguments.prompt_bytes {
            prompt.push_str("reading ");
        }
        prompt.truncate(arguments.prompt_bytes.max(16));
        let body = serde_json::json!({
            "model": arguments.model,
            "stream": true,
            "max_tokens": arguments.max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        Self {
            address: arguments.to,
            key: arguments.key.clone(),
            body: body.to_string(),
        }
    }
}

/// Sends a request and reads its response up to the `[DONE]` event or the end of the stream.
pub async fn send_streamed_request(client: &Client, request: &StreamRequest) -> StreamResult {
    let mut result = StreamResult::default();
    let sent_at = Instant::now();
    let conn = client
        .post(url(request.address, "/v1/chat/completions"))
        .with_request_header("authorization", format!("Bearer {}", request.key))
        .with_request_header("content-type", "application/json")
        .with_body(request.body.clone());
    let Ok(mut conn) = conn.await else {
        return result;
    };
    result.status = conn.status().map_or(0, u16::from);
    let Some(body) = conn.take_response_body().filter(|_| result.status == 200) else {
        return result;
    };
    let mut lines = BufReader::new(body).lines();
    let mut last_token_at: Option<Instant> = None;
    while let Some(Ok(line)) = lines.next().await {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            result.is_complete = true;
            break;
        }
        let now = Instant::now();
        if let Some(emitted_at) = emission_time(data) {
            result
                .transit_times
                .push(wall_clock().saturating_sub(emitted_at));
        }
        match last_token_at {
            None => result.first_token = Some(now - sent_at),
            Some(last) => result.token_intervals.push(now - last),
        }
        last_token_at = Some(now);
    }
    result
}

/// Returns the wall-clock time at which the engine emitted an event.
fn emission_time(data: &str) -> Option<Duration> {
    let event: serde_json::Value = serde_json::from_str(data).ok()?;
    event.get("emitted_us")?.as_u64().map(Duration::from_micros)
}
