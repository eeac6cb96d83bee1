//! Guards against request lines that are damaged when the connection takes only some bytes at a
//! time, and against targets that are accepted although they can't be sent as they are.

use std::io::Result;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{AsyncWrite, AsyncWriteExt};
use shalehinge::utils::raw_target::{RawTargetTransport, raw_target_url};
use shalehinge::utils::request_target::{RequestTarget, RequestTargetError};
use trillium_http::Method;
use trillium_server_common::url::Url;

/// Takes a number of bytes at a time that changes with each call, and sometimes none yet.
struct SlowWriter<'a> {
    written: &'a mut Vec<u8>,
    random: fastrand::Rng,
}

impl AsyncWrite for SlowWriter<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if self.random.u8(..4) == 0 {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = self.random.usize(1..12).min(bytes.len());
        self.written.extend_from_slice(&bytes[..length]);
        Poll::Ready(Ok(length))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let bytes: Vec<u8> = slices.iter().flat_map(|slice| slice.to_vec()).collect();
        self.poll_write(cx, &bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// What arrives if a client writes this head and body.
fn write_slowly(head: &str, body: &str, seed: u64) -> Result<Vec<u8>> {
    let mut written = Vec::new();
    let writer = SlowWriter {
        written: &mut written,
        random: fastrand::Rng::with_seed(seed),
    };
    let mut transport = RawTargetTransport::new(writer);
    smol::block_on(async {
        transport.write_all(head.as_bytes()).await?;
        transport.write_all(body.as_bytes()).await
    })?;
    drop(transport);
    Ok(written)
}

#[test]
fn the_request_line_has_the_target_however_few_bytes_are_written_at_a_time() {
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    for text in ["/", "/a/../b//%2e?c='d", "/long/?0123456789012345678901234"] {
        let target = RequestTarget::new(Method::Get, text).expect("target is valid");
        let url = Url::parse(&raw_target_url(address, &target)).expect("URL is valid");
        let head = format!("GET {} HTTP/1.1\r\nHost: a b\r\n\r\n", url.path());
        for seed in 0..200 {
            let written = write_slowly(&head, "GET /a HTTP/1.1", seed).expect("it is written");
            let expected = format!("GET {text} HTTP/1.1\r\nHost: a b\r\n\r\nGET /a HTTP/1.1");
            assert_eq!(String::from_utf8_lossy(&written), expected, "seed {seed}");
        }
    }
}

#[test]
fn a_request_line_without_an_encoded_target_is_not_written() {
    for line in [
        "GET /a HTTP/1.1\r\n",
        "GET /xy HTTP/1.1\r\n",
        "GET 2f HTTP/1.1\r\n",
        "GET",
    ] {
        assert!(write_slowly(line, "", 1).is_err(), "{line}");
    }
}

#[test]
fn a_target_that_cannot_be_sent_as_it_is_is_refused() {
    for byte in 0..=u8::MAX {
        let text = format!("/a{}", char::from(byte));
        let is_valid = (b'!'..=b'~').contains(&byte) && byte != b'#' && byte != b'\\';
        let target = RequestTarget::new(Method::Get, &text);
        let expected = if is_valid {
            Ok(text.as_str())
        } else {
            Err(RequestTargetError::Character)
        };
        assert_eq!(
            target.as_ref().map(RequestTarget::as_str),
            expected.as_ref().copied()
        );
    }
    for (method, text) in [
        (Method::Get, ""),
        (Method::Get, "*"),
        (Method::Get, "a"),
        (Method::Get, "http://a/b"),
        (Method::Options, "**"),
        (Method::Connect, "/"),
        (Method::Connect, "a:80"),
    ] {
        let target = RequestTarget::new(method, text);
        assert_eq!(target, Err(RequestTargetError::Form), "{method} {text}");
    }
    assert!(RequestTarget::new(Method::Options, "*").is_ok());
}

#[test]
fn the_path_of_a_target_ends_before_its_first_question_mark() {
    for (text, path) in [
        ("/a/../b?c?d/e", "/a/../b"),
        ("/a?", "/a"),
        ("/?/a", "/"),
        ("/a", "/a"),
    ] {
        let target = RequestTarget::new(Method::Get, text).expect("target is valid");
        assert_eq!(target.path(), path);
    }
}
