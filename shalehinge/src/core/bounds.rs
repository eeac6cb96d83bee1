//! Limits on values that other programs state, and checks of whole messages against them.
//!
//! A decoder rejects a message that exceeds them. The core itself must not depend on that: its
//! arithmetic is safe for all values that its types allow (docs/design/FOREIGN_INPUT.md).

use super::demand::{DaemonWork, ModelWork, WorkReport};
use super::engine::{EngineLoad, EngineStatus, OrderReply};
use super::event::{Notice, Pull, PullReply};
use super::fleet_state::ObjectUpdate;
use super::objects::{
    Assignment, ClaimPartition, FleetConfig, HostChanges, HostList, HostRecord, LeaseRecord,
    ModelProfile, Object, RouteConfig,
};

/// Maximum length of a name that another program states, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a name in a message, in bytes: models are named by two such names and a
/// separator.
pub const MAX_COMBINED_NAME_BYTES: usize = 2 * MAX_NAME_BYTES + 1;
/// Maximum number of requests that one upstream can state to run concurrently.
pub const MAX_SLOTS: u32 = 1_000_000;
/// Maximum remaining time of a warm-up, in milliseconds.
pub const MAX_WARM_UP_MS: u64 = 3_600_000;
/// Maximum number of hosts of one group.
pub const MAX_GROUP_HOSTS: u32 = 10_000;
/// Highest number of a group and highest epoch of a lease. It is above those of the last store
/// era, and far below those at which the next number would overflow.
pub const MAX_NUMBER: u64 = 1 << 60;
/// Maximum term of a lease, in milliseconds.
const MAX_TERM_MS: u64 = 3_600_000;
/// Maximum number of requests that an upstream can state to have waiting.
const MAX_WAITING: u32 = 1_000_000_000;
/// Maximum size of a KV cache, in tokens.
const MAX_KV_TOKENS: u64 = 1 << 50;
/// Maximum of counts and rates that are not whole numbers.
const MAX_QUANTITY: f64 = 1e15;

/// A value in a message that is out of its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is out of range")]
pub struct OutOfBounds(pub &'static str);

/// Checks of values whose types allow more than is possible.
pub trait CheckBounds {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// A value is out of its range; the error names its field.
    fn check_bounds(&self) -> Result<(), OutOfBounds>;
}

fn check(is_valid: bool, field: &'static str) -> Result<(), OutOfBounds> {
    is_valid.then_some(()).ok_or(OutOfBounds(field))
}

/// Whether a quantity is finite and not negative. NaN is not.
fn is_quantity(value: f64) -> bool {
    (0.0..=MAX_QUANTITY).contains(&value)
}

fn check_all<'a, T: CheckBounds + 'a>(
    values: impl IntoIterator<Item = &'a T>,
) -> Result<(), OutOfBounds> {
    values.into_iter().try_for_each(T::check_bounds)
}

impl CheckBounds for EngineLoad {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check(self.slots <= MAX_SLOTS, "slots")?;
        check(self.running <= MAX_SLOTS, "running")?;
        check(self.waiting <= MAX_WAITING, "waiting")?;
        check(self.kv_used <= MAX_KV_TOKENS, "kv_used")?;
        check(self.kv_total <= MAX_KV_TOKENS, "kv_total")
    }
}

impl CheckBounds for EngineStatus {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        let number = self.group.map_or(0, |group| group.0);
        check(number <= MAX_NUMBER, "group")?;
        check(self.members_present <= MAX_GROUP_HOSTS, "members_present")?;
        check(self.member_count <= MAX_GROUP_HOSTS, "member_count")?;
        self.load.check_bounds()
    }
}

impl CheckBounds for OrderReply {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        self.status.check_bounds()
    }
}

impl CheckBounds for HostRecord {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        let slots = self.slots.unwrap_or(1);
        check((1..=MAX_SLOTS).contains(&slots), "slots")?;
        check(self.warm_up_ms <= MAX_WARM_UP_MS, "warm_up_ms")?;
        check(self.accelerators <= MAX_SLOTS, "accelerators")?;
        check_all(&self.status)
    }
}

impl CheckBounds for HostList {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check_all(self.hosts.values())
    }
}

impl CheckBounds for HostChanges {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check_all(self.changed.values())
    }
}

impl CheckBounds for Assignment {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check(self.epoch.0 <= MAX_NUMBER, "epoch")?;
        check(self.next_group.0 <= MAX_NUMBER, "next_group")?;
        let mut numbers = self.groups.keys().chain(self.releasing.values());
        check(numbers.all(|number| number.0 <= MAX_NUMBER), "groups")?;
        let mut groups = self.groups.values();
        let is_small = |unknown: u32| unknown <= MAX_GROUP_HOSTS;
        check(
            groups.all(|g| is_small(g.unknown_members)),
            "unknown_members",
        )
    }
}

impl CheckBounds for LeaseRecord {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check(self.epoch.0 <= MAX_NUMBER, "epoch")?;
        check(self.term_ms <= MAX_TERM_MS, "term_ms")
    }
}

impl CheckBounds for ClaimPartition {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        Ok(())
    }
}

impl CheckBounds for ModelProfile {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        let hosts = 1..=MAX_GROUP_HOSTS;
        check(hosts.contains(&self.hosts_per_replica), "hosts_per_replica")?;
        check((0.0..=1.0).contains(&self.work_share), "work_share")?;
        check(is_quantity(self.pace), "pace")?;
        check(self.slots <= MAX_SLOTS, "slots")?;
        if let Some(times) = self.times {
            check(is_quantity(times.step_ms), "step_ms")?;
            check(
                is_quantity(times.step_ms_per_request),
                "step_ms_per_request",
            )?;
            let tokens = times.prompt_tokens_per_second;
            check(is_quantity(tokens), "prompt_tokens_per_second")?;
        }
        check(self.load_seconds.is_none_or(is_quantity), "load_seconds")
    }
}

impl CheckBounds for RouteConfig {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check(self.timeout_ms > 0, "timeout_ms")?;
        check(self.max_attempts > 0, "max_attempts")
    }
}

impl CheckBounds for FleetConfig {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check_all(&self.routes)?;
        check_all(self.profiles.values())?;
        let mut models = self.models.values();
        let hosts = 1..=MAX_GROUP_HOSTS;
        let is_valid = models.all(|model| hosts.contains(&model.hosts_per_replica));
        check(is_valid, "hosts_per_replica")?;
        check(is_quantity(self.weights.group_downtime), "group_downtime")?;
        let stranded = self.weights.stranded_accelerators;
        check(is_quantity(stranded), "stranded_accelerators")?;
        let Some(rate) = self.load_rate else {
            return Ok(());
        };
        check(is_quantity(rate.per_second), "per_second")?;
        check(rate.at_once.is_none_or(is_quantity), "at_once")
    }
}

impl CheckBounds for Object {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        match self {
            Self::Fleet(value) => value.check_bounds(),
            Self::Hosts(value) | Self::RoutableHosts(value) => value.check_bounds(),
            Self::HostChanges(value) => value.check_bounds(),
            Self::RoutableChanges(value) => value.changes.check_bounds(),
            Self::Assignment(value) => value.check_bounds(),
            Self::Lease(value) => value.check_bounds(),
            Self::Claims(value) => value.check_bounds(),
            Self::Evacuations(_) | Self::EvacuationChanges(_) | Self::KnownEvacuations(_) => Ok(()),
        }
    }
}

impl CheckBounds for ObjectUpdate {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        self.object.check_bounds()
    }
}

impl CheckBounds for ModelWork {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check(is_quantity(self.requests), "requests")?;
        check(is_quantity(self.prompt_tokens), "prompt_tokens")?;
        check(is_quantity(self.answers), "answers")?;
        check(is_quantity(self.outputs), "outputs")
    }
}

impl CheckBounds for DaemonWork {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check(is_quantity(self.seconds), "seconds")?;
        check_all(self.counts.values())
    }
}

impl CheckBounds for WorkReport {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        self.work.check_bounds()
    }
}

impl CheckBounds for Pull {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check_all(&self.work)
    }
}

impl CheckBounds for PullReply {
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        check_all(&self.updates)?;
        check_all(&self.work)
    }
}

impl CheckBounds for Notice {
    /// Its numbers are ages, counts and rates, each of which is valid in the whole range of its
    /// type.
    fn check_bounds(&self) -> Result<(), OutOfBounds> {
        Ok(())
    }
}
