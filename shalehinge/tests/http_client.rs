//! Reuse and closing of HTTP client connections after complete and abandoned responses.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use shalehinge::utils::http::{exchange, pooled_client, url};

/// Larger than one chunk, but small enough that a client would accept the whole response.
const RESPONSE_BYTES: usize = 8 * 1024 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;

fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("can read the request");
        head.push(byte[0]);
    }
}

/// Sends the first chunk of a long response. After the client has abandoned the response, sends
/// the rest until the connection fails. Returns the number of bytes sent.
fn send_long_response(listener: &TcpListener, abandoned: &Receiver<()>) -> usize {
    let (mut stream, _) = listener.accept().expect("can accept a connection");
    read_request(&mut stream);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
    stream
        .write_all(head.as_bytes())
        .expect("can send the head");
    let chunk = [b'x'; CHUNK_BYTES];
    stream.write_all(&chunk).expect("can send the first chunk");
    abandoned.recv().expect("the client abandons the response");
    let mut sent = CHUNK_BYTES;
    while sent < RESPONSE_BYTES && stream.write_all(&chunk).is_ok() {
        sent += CHUNK_BYTES;
        // Gives a closed connection time to be detected.
        std::thread::sleep(Duration::from_millis(5));
    }
    sent
}

/// A daemon that lags behind abandons responses that take too long. The rest of them must not
/// keep filling its link: the HTTP library would read each to its end in order to reuse the
/// connection.
#[test]
fn an_abandoned_response_is_not_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("can bind a port");
    let address = listener.local_addr().expect("has a local address");
    let (abandon, abandoned) = mpsc::channel();
    let server = std::thread::spawn(move || send_long_response(&listener, &abandoned));
    let client = pooled_client();
    let response = smol::block_on(exchange(
        client.get(url(address, "/long")),
        Duration::from_millis(100),
    ));
    assert_eq!(response, None);
    abandon.send(()).expect("the server is waiting");
    let sent = server.join().expect("the server thread succeeds");
    assert!(
        sent < RESPONSE_BYTES,
        "the client read the whole abandoned response"
    );
}

/// Answers up to `requests` requests on one connection; returns how many arrived on it.
fn serve_one_connection(listener: &TcpListener, requests: usize) -> usize {
    let (mut stream, _) = listener.accept().expect("can accept a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("can set a read time-out");
    let mut answered = 0;
    while answered < requests {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return answered,
            }
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            .expect("can send the response");
        answered += 1;
    }
    answered
}

#[test]
fn a_connection_is_reused_after_a_complete_response() {
    const REQUESTS: usize = 3;
    let listener = TcpListener::bind("127.0.0.1:0").expect("can bind a port");
    let address = listener.local_addr().expect("has a local address");
    let server = std::thread::spawn(move || serve_one_connection(&listener, REQUESTS));
    let client = pooled_client();
    for _ in 0..REQUESTS {
        let call = exchange(client.get(url(address, "/short")), Duration::from_secs(2));
        smol::block_on(call);
    }
    assert_eq!(server.join().expect("the server thread succeeds"), REQUESTS);
}
