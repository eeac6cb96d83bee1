//! Requests and answers between daemons are encoded in pieces, so that bodies are not copied. Guards
//! against pieces that together differ from the encoding of the whole message.

use std::time::Duration;

use bytes::Bytes;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::forward::ForwardedMeta;
use shalehinge::core::router::request::Target;
use shalehinge::core::types::{Customer, ServiceName};
use shalehinge::peer::forward_message::{
    FRAME_LENGTH_BYTES, ForwardFrame, ForwardMessage, ForwardedRequest, MAX_FRAME_BYTES,
    encode_frame,
};
use shalehinge::upstream::attempt::{OutgoingRequest, ResponseMode, ResponsePart, WholeResponse};
use shalehinge::utils::request_target::RequestTarget;
use trillium_http::{Headers, Method};

/// Lengths at the bounds of the three encodings of byte strings.
const LENGTHS: [usize; 7] = [0, 1, 255, 256, 65_535, 65_536, 4_000_000];

#[test]
fn a_request_in_pieces_is_the_encoding_of_the_whole() {
    for length in LENGTHS {
        let outgoing = OutgoingRequest {
            method: Method::Post,
            target: RequestTarget::new(Method::Post, "/a?b=c").expect("a valid target"),
            headers: Headers::new().with_inserted_header("x-a", "b"),
            body: vec![7; length].into(),
            response_mode: ResponseMode::Service,
            relay: None,
        };
        let message = ForwardMessage {
            meta: meta(),
            request: ForwardedRequest::new(&outgoing),
        };
        let whole = rmp_serde::to_vec(&message).expect("it is encoded");
        let pieces = message.clone().encode().expect("it is encoded");
        assert_eq!(pieces[1].as_ptr(), outgoing.body.as_ptr(), "not copied");
        assert!(pieces.concat() == whole, "{length} bytes");
        let decoded: ForwardMessage = rmp_serde::from_slice(&whole).expect("it is decoded");
        assert!(decoded == message, "{length} bytes");
    }
}

#[test]
fn a_frame_in_pieces_is_the_encoding_of_the_whole() {
    for length in LENGTHS {
        let body = Bytes::from(vec![7; length]);
        let whole = WholeResponse {
            status: 200,
            content_type: Some("text/plain".into()),
            headers: Headers::new().with_inserted_header("x-a", "b"),
            body: body.clone(),
        };
        let parts = [
            ResponsePart::StreamStart,
            ResponsePart::Chunk(body),
            ResponsePart::Whole(whole),
        ];
        for part in parts {
            let frame = ForwardFrame::from(part);
            let whole = rmp_serde::to_vec(&frame).expect("it is encoded");
            let pieces = encode_frame(frame).expect("it is encoded").concat();
            let (encoded_length, content) = pieces.split_at(FRAME_LENGTH_BYTES);
            assert_eq!(encoded_length, (whole.len() as u32).to_be_bytes());
            assert!(content == whole, "{length} bytes");
        }
    }
}

#[test]
fn a_frame_above_the_maximum_is_not_encoded() {
    let chunk = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    assert!(encode_frame(ForwardFrame::Chunk(chunk)).is_err());
}

fn meta() -> ForwardedMeta {
    let customer = Customer::new("tenant-1");
    ForwardedMeta {
        fingerprint: Fingerprint::of(&customer, "POST", "/a", b"body"),
        customer,
        target: Target::Service(ServiceName::new("plain")),
        prompt_tokens: 1,
        max_output_tokens: 2,
        time_left: Duration::from_secs(3),
        first_output_within: None,
        priority: 4,
        repeatable: true,
        prefix: Vec::new(),
        prompt_parts: Vec::new(),
        max_attempts: Some(2),
        is_resumable: false,
        credential: None,
    }
}
