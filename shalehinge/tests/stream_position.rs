//! Two attempts of one stream: the caller gets each event once and in order, whichever of them
//! passes it on.

use std::sync::{Arc, Mutex};

use shalehinge::core::signal::UpstreamSignal;
use shalehinge::upstream::attempt::{ResponsePart, ResponseSink};
use shalehinge::upstream::relay::ResponseHead;
use shalehinge::upstream::stream_position::{EventSplitter, StreamPosition};
use shalehinge::utils::memory_budget::{MemoryBudget, ResponseMemory};
use trillium_http::Headers;

/// The caller of a stream, as one of the request's attempts reaches it.
struct Caller {
    received: Arc<Mutex<Vec<String>>>,
    /// Whether parts of this attempt are passed on.
    is_in_flight: bool,
    /// Set if the caller reads only after a message arrives.
    reads_after: Option<async_channel::Receiver<()>>,
    memory: ResponseMemory,
}

impl Caller {
    fn of_attempt(received: &Arc<Mutex<Vec<String>>>) -> Self {
        Self {
            received: received.clone(),
            is_in_flight: true,
            reads_after: None,
            memory: MemoryBudget::unlimited().response(),
        }
    }
}

impl ResponseSink for Caller {
    async fn pass(&self, part: ResponsePart) -> bool {
        if !self.is_in_flight {
            return false;
        }
        if let Some(may_read) = &self.reads_after {
            may_read
                .recv()
                .await
                .expect("the test lets the caller read");
        }
        let text = match part {
            ResponsePart::Head(head) => format!("head {}", head.status),
            ResponsePart::Chunk(events) => String::from_utf8(events.to_vec()).expect("text"),
            ResponsePart::StreamStart | ResponsePart::Whole(_) => panic!("not a relayed stream"),
        };
        self.received.lock().expect("not poisoned").push(text);
        true
    }

    fn memory(&self) -> &ResponseMemory {
        &self.memory
    }

    fn on_signal(&self, _: UpstreamSignal) {}
}

fn head() -> ResponseHead {
    ResponseHead {
        status: 200,
        headers: Headers::new(),
    }
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: x\n\n")).collect()
}

#[test]
fn events_that_another_attempt_has_passed_on_are_not_passed_on_again() {
    let received = Arc::default();
    let position = StreamPosition::default();
    let (first, second) = (Caller::of_attempt(&received), Caller::of_attempt(&received));
    smol::block_on(async {
        position
            .pass_events(&head(), events(1..=3).as_bytes(), &first)
            .await;
        let passed = position
            .pass_events(&head(), events(2..=4).as_bytes(), &second)
            .await;
        assert_eq!(passed, 1);
    });
    let expected = ["head 200".to_owned(), events(1..=3), events(4..=4)];
    assert_eq!(*received.lock().expect("not poisoned"), expected);
    assert_eq!(position.get().last_event(), Some(4));
}

#[test]
fn an_attempt_that_was_replaced_does_not_move_the_position() {
    let received = Arc::default();
    let position = StreamPosition::default();
    let first = Caller::of_attempt(&received);
    let replaced = Caller {
        is_in_flight: false,
        ..Caller::of_attempt(&received)
    };
    smol::block_on(async {
        position
            .pass_events(&head(), events(1..=2).as_bytes(), &first)
            .await;
        let passed = position
            .pass_events(&head(), events(3..=9).as_bytes(), &replaced)
            .await;
        assert_eq!(passed, 0);
    });
    assert_eq!(position.get().last_event(), Some(2));
}

#[test]
fn an_attempt_waits_while_another_one_passes_events_to_a_slow_caller() {
    let received = Arc::default();
    let position = StreamPosition::default();
    let (read, may_read) = async_channel::bounded(2);
    let slow = Caller {
        reads_after: Some(may_read),
        ..Caller::of_attempt(&received)
    };
    let second = Caller::of_attempt(&received);
    smol::block_on(async {
        let (head, one_to_two, one_to_three) = (head(), events(1..=2), events(1..=3));
        let begun = position.pass_events(&head, one_to_two.as_bytes(), &slow);
        let beside = position.pass_events(&head, one_to_three.as_bytes(), &second);
        let reading = async {
            read.send(()).await.expect("the attempt waits");
            read.send(()).await.expect("the attempt waits");
        };
        let both = futures_lite::future::zip(begun, beside);
        futures_lite::future::zip(both, reading).await;
    });
    let expected = ["head 200".to_owned(), events(1..=2), events(3..=3)];
    assert_eq!(*received.lock().expect("not poisoned"), expected);
}

#[test]
fn an_event_is_whole_however_its_bytes_are_split() {
    let text = events(1..=3);
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        for bytes in text.as_bytes().chunks(size) {
            whole.extend(splitter.feed(bytes));
        }
        assert_eq!(String::from_utf8(whole).expect("text"), text);
        assert!(!splitter.has_excess(0));
    }
}
