//! `POST /v1/chat/completions`, answered in one piece or as a stream of server-sent events.

use std::time::Instant;

use serde::Deserialize;
use trillium::{Conn, Headers, KnownHeaderName};
use trillium_client::Method;

use super::response::{ErrorResponse, submit_and_respond};
use super::{GatewayContext, auth, request_input};
use crate::core::fingerprint::Fingerprint;
use crate::core::router::prefix;
use crate::core::router::request::{RequestMeta, Target};
use crate::core::types::{Customer, ModelName};
use crate::upstream::attempt::{OutgoingRequest, ResponseMode};
use crate::utils::request_target::RequestTarget;

/// Path of chat completions, on this daemon and on engines.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Maximum output tokens of a request that specifies no maximum.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// The fields that matter for routing. The body is passed on whole, so the engine sees all
/// fields.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: serde_json::Value,
}

/// Handles a chat completion request.
pub async fn handle(context: GatewayContext, mut conn: Conn) -> Conn {
    let received_at = Instant::now();
    let prepared = prepare(&context, &mut conn).await;
    submit_and_respond(context, conn, received_at, prepared).await
}

async fn prepare(
    context: &GatewayContext,
    conn: &mut Conn,
) -> Result<(RequestMeta, OutgoingRequest), ErrorResponse> {
    let customer = auth::customer(context, conn)?;
    let options = request_input::options(context, conn, &customer)?;
    let body = request_input::body(context, conn).await?;
    let chat = parse_chat_request(&body)?;
    let meta = request_meta(context, customer, options, &chat, &body);
    let target = RequestTarget::new(Method::Post, CHAT_COMPLETIONS_PATH);
    let outgoing = OutgoingRequest {
        method: Method::Post,
        target: target.map_err(request_input::target_error_response)?,
        headers: Headers::new()
            .with_inserted_header(KnownHeaderName::ContentType, "application/json"),
        body,
        response_mode: if chat.stream {
            ResponseMode::Stream
        } else {
            ResponseMode::Whole
        },
        relay: None,
    };
    Ok((meta, outgoing))
}

fn parse_chat_request(body: &[u8]) -> Result<ChatRequest, ErrorResponse> {
    serde_json::from_slice(body).map_err(|error| {
        let message = format!(
            "the body can't be read at line {} column {}: {error}",
            error.line(),
            error.column()
        );
        ErrorResponse::bad_request("bad_json", message)
    })
}

fn request_meta(
    context: &GatewayContext,
    customer: Customer,
    options: request_input::RequestOptions,
    chat: &ChatRequest,
    body: &[u8],
) -> RequestMeta {
    let prompt = concatenated_messages(chat);
    let prefix = prefix::chain_of(prompt.as_bytes());
    let target = Target::Model(ModelName::new(&chat.model));
    let max_tokens = chat.max_completion_tokens.or(chat.max_tokens);
    RequestMeta {
        fingerprint: Fingerprint::of(
            &customer,
            Method::Post.as_str(),
            CHAT_COMPLETIONS_PATH,
            body,
        ),
        customer,
        prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u32,
        max_output_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        deadline: context.driver.now() + options.time_limit,
        first_output_within: None,
        priority: options.priority,
        key: options.key,
        repeatable: options.repeatable,
        prompt_parts: prefix::shared_parts(&prefix),
        prefix,
        target,
        max_attempts: None,
        is_resumable: false,
        credential: None,
    }
}

/// Concatenates all messages. Routing uses only the start and the length of the result.
fn concatenated_messages(chat: &ChatRequest) -> String {
    let mut text = String::new();
    for message in &chat.messages {
        text.push_str(&message.role);
        text.push('\n');
        match &message.content {
            serde_json::Value::String(content) => text.push_str(content),
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    text
}
