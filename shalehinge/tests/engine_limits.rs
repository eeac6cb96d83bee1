//! Overloaded engines that name a request limit, by the HTTP interface of this project: all
//! daemons together keep the limit, and callers of the only replica are served within it.

mod process_support;

use std::time::{Duration, Instant};

use process_support::{Fleet, chat, chat_body, wait_for};
use standin::engine::faults::EngineFault;

/// Request rate that the engine accepts, in tenths of a request per second.
const TENTHS_A_SECOND: u32 = 20;
/// Minimum duration of the load; it takes longer on a busy machine.
const LASTS: Duration = Duration::from_secs(6);
/// Requests allowed in addition to one and a half times the limit. Users of the system set this
/// bound.
const ALLOWED_BESIDE: f64 = 5.0;

#[test]
fn the_only_replica_gets_what_it_takes_and_other_callers_are_told_to_come_back() {
    let mut fleet = Fleet::new("names-limit", 2);
    let first = fleet.serving();
    let second = fleet.daemon(&[first.peers]);
    wait_for("the second daemon serves", || {
        (second.eligible() == 1).then_some(())
    });
    let tenths_a_second = TENTHS_A_SECOND;
    fleet.engine_fault(EngineFault::NamesLimit { tenths_a_second });
    let daemons = [&first, &second];
    for daemon in daemons {
        assert_eq!(chat(daemon.callers, &[], &chat_body(2, false)).status, 200);
    }
    let told_at = Instant::now();
    let mut served = 0;
    while told_at.elapsed() < LASTS {
        for daemon in daemons {
            let answer = chat(daemon.callers, &[], &chat_body(2, false));
            match answer.status {
                200 => served += 1,
                503 => assert!(answer.header("retry-after").is_some(), "{answer:?}"),
                _ => panic!("{answer:?}"),
            }
        }
    }
    let limit = f64::from(TENTHS_A_SECOND) / 10.0;
    let allowed = 1.5 * limit * told_at.elapsed().as_secs_f64() + ALLOWED_BESIDE;
    assert!(
        f64::from(served) <= allowed,
        "{served} ran, allowed {allowed:.0}"
    );
    assert!(served >= 3, "{served} ran");
    fleet.engine_fault(EngineFault::None);
    wait_for("the limit is lifted", || {
        chat(first.callers, &[], &chat_body(2, false));
        let text = [first.log_text(), second.log_text()].concat();
        text.contains("names no limit any more").then_some(())
    });
}
