//! What a call to another process leaves behind when it is given up.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use shalehinge::utils::http::{exchange, pooled_client, url};

/// More than a piece, and less than a client takes in whole.
const ANSWER_BYTES: usize = 8 * 1024 * 1024;
const PIECE: usize = 64 * 1024;

fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}

/// Sends the first piece of a long answer, and once the caller gave it up the rest, as long as
/// somebody takes it; returns the bytes that were taken.
fn answer_at_length(listener: &TcpListener, given_up: &Receiver<()>) -> usize {
    let (mut stream, _) = listener.accept().expect("a caller");
    read_request(&mut stream);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a head");
    let piece = [b'x'; PIECE];
    stream.write_all(&piece).expect("a piece");
    given_up.recv().expect("given up");
    let mut sent = PIECE;
    while sent < ANSWER_BYTES && stream.write_all(&piece).is_ok() {
        sent += PIECE;
        // Leaves a closed connection the time to show.
        std::thread::sleep(Duration::from_millis(5));
    }
    sent
}

/// A daemon that is behind gives up answers that take too long. What is left of them must not
/// go on filling its link: the library would else read each to its end, to use the connection
/// again.
#[test]
fn an_answer_that_is_given_up_is_not_read_on() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (give_up, given_up) = mpsc::channel();
    let server = std::thread::spawn(move || answer_at_length(&listener, &given_up));
    let client = pooled_client();
    let answer = smol::block_on(exchange(
        client.get(url(address, "/long")),
        Duration::from_millis(100),
    ));
    assert_eq!(answer, None);
    give_up.send(()).expect("waits");
    let sent = server.join().expect("ends");
    assert!(sent < ANSWER_BYTES, "all of it was read");
}

/// Answers so many requests on one connection; returns how many came on it.
fn answer_on_one_connection(listener: &TcpListener, requests: usize) -> usize {
    let (mut stream, _) = listener.accept().expect("a caller");
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .expect("set");
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
            .expect("an answer");
        answered += 1;
    }
    answered
}

#[test]
fn a_connection_whose_answer_was_read_whole_is_used_again() {
    const REQUESTS: usize = 3;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let server = std::thread::spawn(move || answer_on_one_connection(&listener, REQUESTS));
    let client = pooled_client();
    for _ in 0..REQUESTS {
        let call = exchange(client.get(url(address, "/short")), Duration::from_secs(2));
        smol::block_on(call);
    }
    assert_eq!(server.join().expect("ends"), REQUESTS);
}
