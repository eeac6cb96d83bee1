//! The budget for bytes held for callers and upstreams: shares, order of waiting, and release.

use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use shalehinge::utils::memory_budget::{
    BodyReservation, GrowingReservation, MemoryBudget, MemoryError, SMALL_BODY_BYTES,
    budget_for_limit, hold,
};

/// Size of the budget in these tests: reserve 1 MB, responses 2 MB, shared 5 MB.
const SIZE: u64 = 8_000_000;
const SHARED: u64 = 5_000_000;
const RESPONSES: u64 = 2_000_000;

fn poll_once<T>(future: &mut Pin<&mut impl Future<Output = T>>) -> Option<T> {
    match future
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
    {
        Poll::Ready(value) => Some(value),
        Poll::Pending => None,
    }
}

/// Returns what the future gives without waiting.
fn now<T>(future: impl Future<Output = T>) -> Option<T> {
    poll_once(&mut pin!(future))
}

fn body_of(budget: &MemoryBudget, bytes: u64) -> Option<BodyReservation> {
    let mut body = budget.body();
    let result = now(body.grow_to(bytes))?;
    result.ok().map(|()| body)
}

#[test]
fn the_budget_is_what_the_process_leaves_and_at_most_half() {
    let budgets = [112, 160, 260, 512].map(|mb| budget_for_limit(mb * 1_000_000));
    assert_eq!(budgets, [56_000_000, 80_000_000, 130_000_000, 256_000_000]);
    assert_eq!(budget_for_limit(70_000_000), 14_000_000);
    assert_eq!(budget_for_limit(10_000_000), 0);
}

#[test]
fn bodies_give_their_memory_back_when_the_last_reference_is_dropped() {
    let budget = MemoryBudget::new(Some(SIZE));
    let reservation = body_of(&budget, 1_000).expect("it is free");
    let body = hold(vec![7; 1_000], reservation);
    let shared = body.clone();
    drop(body);
    assert_eq!(budget.usage().bytes_held, 1_000);
    assert_eq!(shared[999], 7);
    drop(shared);
    assert_eq!(budget.usage().bytes_held, 0);
}

#[test]
fn a_panic_gives_the_memory_back() {
    let budget = MemoryBudget::new(Some(SIZE));
    let held = budget.clone();
    let result = std::thread::spawn(move || {
        let _body = body_of(&held, 1_000_000);
        panic!("a task fails");
    })
    .join();
    assert!(result.is_err());
    assert_eq!(budget.usage().bytes_held, 0);
}

#[test]
fn large_bodies_leave_the_reserve_to_small_ones() {
    let budget = MemoryBudget::new(Some(SIZE));
    let _large = body_of(&budget, SHARED).expect("it is free");
    assert!(body_of(&budget, SMALL_BODY_BYTES + 1).is_none());
    let small: Vec<_> = (0..15)
        .map(|_| body_of(&budget, SMALL_BODY_BYTES).expect("the reserve is free"))
        .collect();
    assert!(
        body_of(&budget, SMALL_BODY_BYTES).is_none(),
        "it is used up"
    );
    drop(small);
    assert!(body_of(&budget, SMALL_BODY_BYTES).is_some());
}

#[test]
fn bodies_get_their_memory_in_the_order_of_arrival() {
    let budget = MemoryBudget::new(Some(SIZE));
    let first = body_of(&budget, SHARED - 1_000_000).expect("it is free");
    let (mut second, mut third) = (budget.body(), budget.body());
    let mut second_waits = Box::pin(second.grow_to(3_000_000));
    let mut third_waits = Box::pin(third.grow_to(500_000));
    assert!(poll_once(&mut second_waits.as_mut()).is_none());
    // It would fit, but would let large bodies wait forever behind smaller ones.
    assert!(poll_once(&mut third_waits.as_mut()).is_none());
    drop(first);
    assert_eq!(poll_once(&mut second_waits.as_mut()), Some(Ok(())));
    assert_eq!(poll_once(&mut third_waits.as_mut()), Some(Ok(())));
    assert_eq!(budget.usage().waits, 2);
}

#[test]
fn a_body_that_no_longer_waits_does_not_hold_up_those_behind_it() {
    let budget = MemoryBudget::new(Some(SIZE));
    let _first = body_of(&budget, SHARED - 1_000_000).expect("it is free");
    let (mut second, mut third) = (budget.body(), budget.body());
    let mut second_waits = Box::pin(second.grow_to(3_000_000));
    let mut third_waits = Box::pin(third.grow_to(500_000));
    assert!(poll_once(&mut second_waits.as_mut()).is_none());
    assert!(poll_once(&mut third_waits.as_mut()).is_none());
    drop(second_waits);
    assert_eq!(poll_once(&mut third_waits.as_mut()), Some(Ok(())));
}

#[test]
fn memory_granted_to_a_wait_that_was_abandoned_is_given_back() {
    let budget = MemoryBudget::new(Some(SIZE));
    let first = body_of(&budget, SHARED).expect("it is free");
    let mut second = budget.body();
    let mut second_waits = Box::pin(second.grow_to(SHARED));
    assert!(poll_once(&mut second_waits.as_mut()).is_none());
    drop(first);
    drop(second_waits);
    assert_eq!(budget.usage().bytes_held, 0);
}

#[test]
fn a_body_that_never_fits_or_waits_too_long_is_refused() {
    let budget = MemoryBudget::new(Some(SIZE));
    let mut too_large = budget.body();
    let refused = now(too_large.grow_to(SHARED + 1));
    assert_eq!(refused, Some(Err(MemoryError::TooLarge)));
    let _first = body_of(&budget, SHARED).expect("it is free");
    let started = std::time::Instant::now();
    let mut second = budget.body();
    let refused = smol::block_on(second.grow_to(1_000_000));
    assert_eq!(refused, Err(MemoryError::Exhausted));
    let seconds = started.elapsed().as_secs_f64();
    assert!((1.9..4.0).contains(&seconds), "{seconds}");
    assert_eq!(budget.usage().refusals, 2);
}

#[test]
fn the_waits_of_a_growing_body_count_together() {
    let budget = MemoryBudget::new(Some(SIZE));
    let mut body = budget.body();
    assert_eq!(now(body.grow_to(1_000_000)), Some(Ok(())));
    let others = body_of(&budget, SHARED - 1_000_000).expect("it is free");
    let started = std::time::Instant::now();
    let release = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(1_500));
        drop(others);
    });
    assert_eq!(smol::block_on(body.grow_to(2_000_000)), Ok(()));
    release.join().expect("it is released");
    let _others = body_of(&budget, SHARED - 2_000_000).expect("it is free");
    let refused = smol::block_on(body.grow_to(3_000_000));
    assert_eq!(refused, Err(MemoryError::Exhausted));
    let seconds = started.elapsed().as_secs_f64();
    assert!((1.9..3.0).contains(&seconds), "{seconds}");
}

#[test]
fn a_growing_body_leaves_the_reserve_when_it_is_no_longer_small() {
    let budget = MemoryBudget::new(Some(SIZE));
    let mut body = budget.body();
    assert_eq!(now(body.grow_to(16_384)), Some(Ok(())));
    assert_eq!(now(body.grow_to(SMALL_BODY_BYTES)), Some(Ok(())));
    assert_eq!(now(body.grow_to(400_000)), Some(Ok(())));
    assert_eq!(budget.usage().bytes_held, 400_000);
    body.shrink_to(300_000);
    assert_eq!(budget.usage().bytes_held, 300_000);
    let _large = body_of(&budget, SHARED - 300_000).expect("it is free");
    drop(body);
    assert_eq!(budget.usage().bytes_held, SHARED - 300_000);
}

#[test]
fn responses_do_not_wait_for_bodies() {
    let budget = MemoryBudget::new(Some(SIZE));
    let _large = body_of(&budget, SHARED).expect("it is free");
    let mut response = budget.response().reservation();
    assert_eq!(now(response.grow_to(RESPONSES)), Some(Ok(())));
}

#[test]
fn a_stream_goes_on_while_slow_callers_use_up_the_share() {
    let budget = MemoryBudget::new(Some(SIZE));
    let part = || Bytes::from(vec![0; 8_192]);
    let mut held = Vec::new();
    // Slow callers: each stream queues parts until it has to wait.
    for _ in 0..20 {
        let memory = budget.response();
        while let Some(part) = now(memory.hold(part())) {
            held.push(part);
            assert!(held.len() < 1_000, "a slow caller's stream must wait");
        }
    }
    assert!(budget.usage().bytes_held <= RESPONSES + 20 * 8_192);
    let memory = budget.response();
    for _ in 0..100 {
        let part = now(memory.hold(part()));
        drop(part.expect("its caller has read the part before"));
    }
}

#[test]
fn one_response_exceeds_the_share_if_all_wait_to_be_whole() {
    let budget = MemoryBudget::new(Some(SIZE));
    let mut responses: Vec<_> = (0..3).map(|_| budget.response().reservation()).collect();
    for response in &mut responses {
        assert_eq!(now(response.grow_to(600_000)), Some(Ok(())));
    }
    let mut third = responses.pop().expect("there are three");
    let mut second = responses.pop().expect("there are three");
    assert_eq!(now(second.grow_to(1_000_000)), Some(Ok(())), "exceeds it");
    assert_eq!(now(second.grow_to(1_500_000)), Some(Ok(())), "and goes on");
    let mut third_waits = Box::pin(third.grow_to(1_000_000));
    assert!(poll_once(&mut third_waits.as_mut()).is_none());
    drop(second);
    assert_eq!(poll_once(&mut third_waits.as_mut()), Some(Ok(())));
}

#[test]
fn without_a_limit_nothing_waits() {
    let budget = MemoryBudget::unlimited();
    let bodies: Vec<_> = (0..9).map(|_| body_of(&budget, 1 << 40)).collect();
    assert!(bodies.iter().all(Option::is_some));
    let mut response = budget.response().reservation();
    assert_eq!(now(response.grow_to(1 << 40)), Some(Ok(())));
    assert_eq!(budget.usage().waits, 0);
}
