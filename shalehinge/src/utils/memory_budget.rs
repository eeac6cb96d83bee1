//! A budget for the bytes that a process holds for callers and upstreams.
//!
//! The budget has three shares. Request bodies use the shared one; those of at most
//! [`SMALL_BODY_BYTES`] have a reserve besides, so that large bodies don't hold them up. Responses
//! have a share of their own: a body is held until its request ends, so responses that waited for
//! the memory of bodies could wait for themselves.

use std::collections::VecDeque;
use std::mem;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use bytes::Bytes;

use super::time::with_timeout;

/// Size up to which a body counts as small.
pub const SMALL_BODY_BYTES: u64 = 64 * 1024;
/// How long a body may wait for memory altogether before its request is refused.
pub const MEMORY_WAIT: Duration = Duration::from_secs(2);
/// Memory that is left for everything else in the process.
const PROCESS_BYTES: u64 = 56_000_000;
/// One part in so many is reserved for small bodies.
const RESERVE_DIVISOR: u64 = 8;
/// One part in so many is the share of responses.
const RESPONSES_DIVISOR: u64 = 4;
/// One part in so many of the share of responses is the most that a single stream may have queued.
const STREAM_DIVISOR: u64 = 16;
/// Size of a part that a response may always hold, so that streams whose callers read go on while
/// others use up the share.
const RESPONSE_FLOOR: u64 = 16 * 1024;

/// The size of the budget for a process that may use `limit` bytes.
pub fn budget_for_limit(limit: u64) -> u64 {
    limit.saturating_sub(PROCESS_BYTES).min(limit / 2)
}

/// Why a body gets no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemoryError {
    /// It is larger than what bodies may use altogether.
    #[error("larger than the memory for all bodies")]
    TooLarge,
    /// Other bodies held the memory for [`MEMORY_WAIT`].
    #[error("no memory was free in time")]
    Exhausted,
}

/// Totals of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes that are held now.
    pub bytes_held: u64,
    /// How often something had to wait for memory.
    pub waits: u64,
    /// How many bodies were refused.
    pub refusals: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pool {
    /// Small bodies only.
    Reserve,
    /// Bodies of any size.
    Shared,
    Responses,
}

#[derive(Clone, Copy, Debug)]
struct Shares {
    reserve: u64,
    shared: u64,
    responses: u64,
}

impl Shares {
    const UNLIMITED: Self = Self {
        reserve: u64::MAX,
        shared: u64::MAX,
        responses: u64::MAX,
    };

    fn of(size: u64) -> Self {
        let reserve = size / RESERVE_DIVISOR;
        let responses = size / RESPONSES_DIVISOR;
        Self {
            reserve,
            shared: size - reserve - responses,
            responses,
        }
    }

    fn of_pool(&self, pool: Pool) -> u64 {
        match pool {
            Pool::Reserve => self.reserve,
            Pool::Shared => self.shared,
            Pool::Responses => self.responses,
        }
    }
}

/// Something that waits for a grant. It has given up if its receiver is closed.
struct Waiter<T> {
    bytes: u64,
    sender: Sender<Grant>,
    detail: T,
}

impl<T> Waiter<T> {
    fn has_given_up(&self) -> bool {
        self.sender.is_closed()
    }
}

/// What a response needs memory for.
#[derive(Clone)]
struct ResponseNeed {
    account: Arc<Account>,
    /// Whether it is read and can't be passed on before it is whole.
    is_incomplete: bool,
}

/// The bytes that one response holds; changes only while the budget's lock is held.
#[derive(Debug, Default)]
struct Account(AtomicU64);

impl Account {
    fn held(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

#[derive(Default)]
struct State {
    reserve_used: u64,
    shared_used: u64,
    responses_used: u64,
    small_bodies: VecDeque<Waiter<()>>,
    large_bodies: VecDeque<Waiter<()>>,
    responses: VecDeque<Waiter<ResponseNeed>>,
    /// The only response that may exceed the share.
    overdrawn: Option<Arc<Account>>,
}

impl State {
    fn used(&mut self, pool: Pool) -> &mut u64 {
        match pool {
            Pool::Reserve => &mut self.reserve_used,
            Pool::Shared => &mut self.shared_used,
            Pool::Responses => &mut self.responses_used,
        }
    }
}

struct Inner {
    shares: Shares,
    state: Mutex<State>,
    waits: AtomicU64,
    refusals: AtomicU64,
}

/// The budget of a process; clones share it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Inner>);

impl MemoryBudget {
    /// Creates a budget of `size` bytes, or one without a limit.
    pub fn new(size: Option<u64>) -> Self {
        Self(Arc::new(Inner {
            shares: size.map_or(Shares::UNLIMITED, Shares::of),
            state: Mutex::default(),
            waits: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
        }))
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Self {
        Self::new(None)
    }

    /// The totals.
    pub fn usage(&self) -> MemoryUsage {
        let state = self.lock();
        MemoryUsage {
            bytes_held: state.reserve_used + state.shared_used + state.responses_used,
            waits: self.0.waits.load(Ordering::Relaxed),
            refusals: self.0.refusals.load(Ordering::Relaxed),
        }
    }

    /// Begins a body that holds nothing yet.
    pub fn body(&self) -> BodyReservation {
        BodyReservation {
            budget: self.clone(),
            wait_left: MEMORY_WAIT,
            reserve: None,
            shared: None,
        }
    }

    /// Begins a response that holds nothing yet.
    pub fn response(&self) -> ResponseMemory {
        ResponseMemory {
            budget: self.clone(),
            account: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grants `bytes` of a pool if they are free.
    fn take(&self, state: &mut State, pool: Pool, bytes: u64) -> Option<Grant> {
        let share = self.0.shares.of_pool(pool);
        let used = state.used(pool);
        let total = used.checked_add(bytes).filter(|total| *total <= share)?;
        *used = total;
        Some(Grant {
            budget: self.clone(),
            pool,
            bytes,
            account: None,
        })
    }

    fn take_for_small_body(&self, state: &mut State, bytes: u64) -> Option<Grant> {
        if let Some(grant) = self.take(state, Pool::Reserve, bytes) {
            return Some(grant);
        }
        // Above their reserve, small bodies don't overtake large ones that wait.
        let large_ones_wait = state.large_bodies.iter().any(|other| !other.has_given_up());
        if large_ones_wait {
            return None;
        }
        self.take(state, Pool::Shared, bytes)
    }

    /// Grants `bytes` to a response. With `may_use_share` they may come from what is free of the
    /// share; otherwise others have waited for that for longer.
    fn take_for_response(
        &self,
        state: &mut State,
        bytes: u64,
        need: &ResponseNeed,
        may_use_share: bool,
    ) -> Option<Grant> {
        let share = self.0.shares.responses;
        let held = need.account.held();
        let is_first_part = held == 0;
        let total = state.responses_used.saturating_add(bytes);
        let is_within_stream =
            need.is_incomplete || held.saturating_add(bytes) <= share / STREAM_DIVISOR;
        let fits = may_use_share && total <= share && (is_first_part || is_within_stream);
        let is_floor = is_first_part && bytes <= RESPONSE_FLOOR;
        if !fits && !is_floor {
            // One response may exceed the share. Otherwise those that can't be passed on before
            // they are whole could each wait for the memory of another.
            let is_overdrawn = |account: &Arc<Account>| Arc::ptr_eq(account, &need.account);
            let may_overdraw = state.overdrawn.as_ref().is_none_or(is_overdrawn);
            let goes_on_without_caller = is_first_part || need.is_incomplete;
            if !may_overdraw || !goes_on_without_caller {
                return None;
            }
            state.overdrawn = Some(need.account.clone());
        }
        state.responses_used = total;
        need.account.0.fetch_add(bytes, Ordering::Relaxed);
        Some(Grant {
            budget: self.clone(),
            pool: Pool::Responses,
            bytes,
            account: Some(need.account.clone()),
        })
    }

    /// Whether a response that waits for these bytes waits for its own caller only.
    fn is_free_for_responses(&self, state: &State, bytes: u64) -> bool {
        state.responses_used.saturating_add(bytes) <= self.0.shares.responses
    }

    /// Gives bytes back and grants them to whoever waits for them.
    fn release(&self, pool: Pool, bytes: u64, account: Option<&Arc<Account>>) {
        let mut state = self.lock();
        *state.used(pool) -= bytes;
        if let Some(account) = account {
            let held_before = account.0.fetch_sub(bytes, Ordering::Relaxed);
            let is_overdrawn = state
                .overdrawn
                .as_ref()
                .is_some_and(|other| Arc::ptr_eq(other, account));
            if is_overdrawn && held_before == bytes {
                state.overdrawn = None;
            }
        }
        self.serve(state);
    }

    /// Grants what is free to those that wait.
    fn serve(&self, mut state: MutexGuard<'_, State>) {
        let state_ref = &mut *state;
        let mut refused = Vec::new();
        let mut send = |waiter: Sender<Grant>, grant| {
            if let Err(error) = waiter.try_send(grant) {
                refused.push(error.into_inner());
            }
        };
        while let Some(waiter) = state_ref.large_bodies.front() {
            if !waiter.has_given_up() {
                let bytes = waiter.bytes;
                let Some(grant) = self.take(state_ref, Pool::Shared, bytes) else {
                    break;
                };
                if let Some(waiter) = state_ref.large_bodies.pop_front() {
                    send(waiter.sender, grant);
                }
            } else {
                state_ref.large_bodies.pop_front();
            }
        }
        while let Some(waiter) = state_ref.small_bodies.front() {
            if !waiter.has_given_up() {
                let bytes = waiter.bytes;
                let Some(grant) = self.take_for_small_body(state_ref, bytes) else {
                    break;
                };
                if let Some(waiter) = state_ref.small_bodies.pop_front() {
                    send(waiter.sender, grant);
                }
            } else {
                state_ref.small_bodies.pop_front();
            }
        }
        if !state_ref.responses.is_empty() {
            let mut may_use_share = true;
            for waiter in mem::take(&mut state_ref.responses) {
                if waiter.has_given_up() {
                    continue;
                }
                let (bytes, need) = (waiter.bytes, &waiter.detail);
                match self.take_for_response(state_ref, bytes, need, may_use_share) {
                    Some(grant) => send(waiter.sender, grant),
                    None => {
                        may_use_share &= self.is_free_for_responses(state_ref, bytes);
                        state_ref.responses.push_back(waiter);
                    }
                }
            }
        }
        // Grants give their bytes back when they are dropped, which takes the lock.
        drop(state);
        drop(refused);
    }

    fn refuse(&self, error: MemoryError) -> MemoryError {
        self.0.refusals.fetch_add(1, Ordering::Relaxed);
        error
    }

    /// Waits for a grant. If the wait is abandoned, those behind it are served.
    async fn wait(&self, grant: Receiver<Grant>) -> Option<Grant> {
        struct ServeOthers<'a>(&'a MemoryBudget, Receiver<Grant>);
        impl Drop for ServeOthers<'_> {
            fn drop(&mut self) {
                self.1.close();
                self.0.serve(self.0.lock());
            }
        }
        self.0.waits.fetch_add(1, Ordering::Relaxed);
        let waiting = ServeOthers(self, grant);
        waiting.1.recv().await.ok()
    }
}

/// Bytes of one share; given back when dropped.
struct Grant {
    budget: MemoryBudget,
    pool: Pool,
    bytes: u64,
    account: Option<Arc<Account>>,
}

impl Grant {
    fn shrink_to(&mut self, bytes: u64) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        if excess > 0 {
            self.budget
                .release(self.pool, excess, self.account.as_ref());
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// Memory that grows while its content arrives.
pub trait GrowingReservation: Send + Sync + 'static {
    /// Waits until `total` bytes are reserved altogether.
    fn grow_to(&mut self, total: u64) -> impl Future<Output = Result<(), MemoryError>> + Send + '_;

    /// Gives back what exceeds `total` bytes.
    fn shrink_to(&mut self, total: u64);
}

/// The memory of one request body.
pub struct BodyReservation {
    budget: MemoryBudget,
    /// How long it may still wait, over all steps of its growth.
    wait_left: Duration,
    reserve: Option<Grant>,
    shared: Option<Grant>,
}

impl BodyReservation {
    fn held(grant: &Option<Grant>) -> u64 {
        grant.as_ref().map_or(0, |grant| grant.bytes)
    }

    /// Asks for more bytes: `Err` with the channel that delivers them if others come first.
    fn request(&self, bytes: u64, is_small: bool) -> Result<Grant, Receiver<Grant>> {
        let budget = &self.budget;
        let mut state = budget.lock();
        let has_begun = self.reserve.is_some() || self.shared.is_some();
        let queue = if is_small {
            &state.small_bodies
        } else {
            &state.large_bodies
        };
        let others_wait = queue.iter().any(|other| !other.has_given_up());
        if !others_wait {
            let grant = if is_small {
                budget.take_for_small_body(&mut state, bytes)
            } else {
                budget.take(&mut state, Pool::Shared, bytes)
            };
            if let Some(grant) = grant {
                return Ok(grant);
            }
        }
        let (sender, receiver) = async_channel::bounded(1);
        let waiter = Waiter {
            bytes,
            sender,
            detail: (),
        };
        let queue = if is_small {
            &mut state.small_bodies
        } else {
            &mut state.large_bodies
        };
        // A body that has begun is finished before others begin.
        if has_begun {
            queue.push_front(waiter);
        } else {
            queue.push_back(waiter);
        }
        Err(receiver)
    }
}

impl GrowingReservation for BodyReservation {
    /// Fails if the body has waited for [`MEMORY_WAIT`] altogether.
    async fn grow_to(&mut self, total: u64) -> Result<(), MemoryError> {
        let shared = Self::held(&self.shared);
        let held = shared.saturating_add(Self::held(&self.reserve));
        if total <= held {
            return Ok(());
        }
        if total > self.budget.0.shares.shared {
            return Err(self.budget.refuse(MemoryError::TooLarge));
        }
        let is_small = total <= SMALL_BODY_BYTES;
        // A body that is no longer small leaves the reserve.
        let bytes = total - if is_small { held } else { shared };
        let grant = match self.request(bytes, is_small) {
            Ok(grant) => grant,
            Err(receiver) => {
                let started = Instant::now();
                let grant = with_timeout(self.wait_left, self.budget.wait(receiver)).await;
                self.wait_left = self.wait_left.saturating_sub(started.elapsed());
                grant
                    .flatten()
                    .ok_or_else(|| self.budget.refuse(MemoryError::Exhausted))?
            }
        };
        if !is_small {
            self.reserve = None;
        }
        let own = match grant.pool {
            Pool::Reserve => &mut self.reserve,
            Pool::Shared | Pool::Responses => &mut self.shared,
        };
        absorb(own, grant);
        Ok(())
    }

    fn shrink_to(&mut self, total: u64) {
        let shared = Self::held(&self.shared);
        if let Some(grant) = &mut self.shared {
            grant.shrink_to(total);
        }
        if let Some(grant) = &mut self.reserve {
            grant.shrink_to(total.saturating_sub(shared));
        }
    }
}

/// Adds a grant to one of the same pool.
fn absorb(own: &mut Option<Grant>, mut grant: Grant) {
    match own {
        Some(own) => own.bytes += mem::take(&mut grant.bytes),
        None => *own = Some(grant),
    }
}

/// The memory of one response.
#[derive(Clone)]
pub struct ResponseMemory {
    budget: MemoryBudget,
    account: Arc<Account>,
}

impl ResponseMemory {
    /// Begins what can't be passed on before it is whole.
    pub fn reservation(&self) -> ResponseReservation {
        ResponseReservation {
            memory: self.clone(),
            grant: None,
        }
    }

    /// Waits until there is memory for a part that is passed on, and returns it with its
    /// reservation.
    pub async fn hold(&self, part: Bytes) -> Bytes {
        let grant = self.acquire(part.len() as u64, false).await;
        hold(part, grant)
    }

    async fn acquire(&self, bytes: u64, is_incomplete: bool) -> Option<Grant> {
        let need = ResponseNeed {
            account: self.account.clone(),
            is_incomplete,
        };
        let receiver = {
            let mut state = self.budget.lock();
            let mut others = state.responses.iter();
            let may_use_share =
                others.all(|other| self.budget.is_free_for_responses(&state, other.bytes));
            let grant = self
                .budget
                .take_for_response(&mut state, bytes, &need, may_use_share);
            if grant.is_some() {
                return grant;
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.responses.push_back(Waiter {
                bytes,
                sender,
                detail: need,
            });
            receiver
        };
        self.budget.wait(receiver).await
    }
}

/// The memory of a response, or of an event, that can't be passed on before it is whole.
pub struct ResponseReservation {
    memory: ResponseMemory,
    grant: Option<Grant>,
}

impl GrowingReservation for ResponseReservation {
    /// Waits for as long as it takes: work that runs at an upstream is not dropped.
    async fn grow_to(&mut self, total: u64) -> Result<(), MemoryError> {
        let held = self.grant.as_ref().map_or(0, |grant| grant.bytes);
        if total <= held {
            return Ok(());
        }
        let grant = self.memory.acquire(total - held, true).await;
        if let Some(grant) = grant {
            absorb(&mut self.grant, grant);
        }
        Ok(())
    }

    fn shrink_to(&mut self, total: u64) {
        if let Some(grant) = &mut self.grant {
            grant.shrink_to(total);
        }
    }
}

/// Bytes with what is given back when the last reference to them is dropped.
struct Held<T, R> {
    bytes: T,
    _reservation: R,
}

impl<T: AsRef<[u8]>, R> AsRef<[u8]> for Held<T, R> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns the bytes without copying them; the reservation is given back when the last reference
/// to them is dropped.
pub fn hold<T, R>(bytes: T, reservation: R) -> Bytes
where
    T: AsRef<[u8]> + Send + 'static,
    R: Send + 'static,
{
    Bytes::from_owner(Held {
        bytes,
        _reservation: reservation,
    })
}
