//! Overloaded engines that name a request limit, by the HTTP interface of this project: all
//! daemons together keep the limit, and callers of the only replica are served within it.

mod process_support;

use std::time::{Duration, Instant};

use process_support::{Fleet, chat_request_body, send_chat, wait_for};
use standin::engine::faults::EngineFault;

/// Request rate that the engine accepts, in tenths of a request per second.
const TENTHS_A_SECOND: u32 = 20;
/// Minimum duration of the load; it takes longer on a busy machine.
const LOAD_DURATION: Duration = Duration::from_secs(6);
/// Requests allowed in addition to one and a half times the limit. Users of the system set this
/// bound.
const ALLOWED_EXTRA: f64 = 5.0;

#[test]
fn the_only_replica_gets_requests_up_to_its_limit_and_other_callers_are_told_to_retry() {
    let mut fleet = Fleet::new("names-limit", 2);
    let first = fleet.start_serving_daemon();
    let second = fleet.start_daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible_replicas() == 1).then_some(())
    });
    let tenths_a_second = TENTHS_A_SECOND;
    fleet.set_engine_fault(EngineFault::NamesLimit { tenths_a_second });
    let daemons = [&first, &second];
    for daemon in daemons {
        assert_eq!(
            send_chat(daemon.callers, &[], &chat_request_body(2, false)).status,
            200
        );
    }
    let limit_named_at = Instant::now();
    let mut served = 0;
    while limit_named_at.elapsed() < LOAD_DURATION {
        for daemon in daemons {
            let response = send_chat(daemon.callers, &[], &chat_request_body(2, false));
            match response.status {
                200 => served += 1,
                503 => assert!(response.header("retry-after").is_some(), "{response:?}"),
                _ => panic!("{response:?}"),
            }
        }
    }
    let limit = f64::from(TENTHS_A_SECOND) / 10.0;
    let allowed = 1.5 * limit * limit_named_at.elapsed().as_secs_f64() + ALLOWED_EXTRA;
    assert!(
        f64::from(served) <= allowed,
        "{served} ran, allowed {allowed:.0}"
    );
    assert!(served >= 3, "{served} ran");
    fleet.set_engine_fault(EngineFault::None);
    wait_for("the limit is lifted", || {
        send_chat(first.callers, &[], &chat_request_body(2, false));
        let text = [first.log_text(), second.log_text()].concat();
        text.contains("names no limit any more").then_some(())
    });
}
