//! Group membership, orders and fencing of one stand-in host.

use std::time::Duration;

use shalehinge::core::engine::{
    Command, EnginePhase, EngineStatus, Fence, HeldModel, LoadCommand, Order, OrderReply,
};
use shalehinge::core::types::{Address, GroupNumber, HostId};

use super::faults::EngineFault;
use super::model::{EngineModel, EngineParameters};

/// State of the engine on one host.
#[derive(Debug)]
pub struct HostEngine {
    /// Identifier of the host.
    pub host: HostId,
    /// Whether orders whose fence is lower than that of the last accepted order are refused.
    pub checks_fences: bool,
    /// Injected fault.
    pub fault: EngineFault,
    /// Batch of the replica; used at rank 0 only.
    pub model: EngineModel,
    /// Phase that the engine reports.
    pub phase: EnginePhase,
    /// Membership in a group, if the host is in one.
    pub membership: Option<GroupMembership>,
    /// Number of members found ready by the last check, including rank 0 itself; maintained at
    /// rank 0 only.
    pub members_present: u32,
    /// When rank 0 last checked the other members, by the host's monotonic clock.
    members_checked_at: Duration,
    /// Whether a member was lost after the group was complete; the group can't serve any more.
    pub has_lost_member: bool,
    /// Weights in memory.
    held: Option<HeldModel>,
    /// Fence of the last accepted order.
    fence: Fence,
    /// Number of loads started; identifies the current load, so that the completion of an
    /// earlier one is ignored.
    pub load_number: u64,
}

/// Membership in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Number of the group.
    pub group: GroupNumber,
    /// Load command that made the host a member.
    pub load: LoadCommand,
}

/// Work that the caller must start after an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followup {
    /// Nothing.
    None,
    /// Load the weights, then call [`HostEngine::finish_load`].
    Load {
        /// Number of the load, to be passed to [`HostEngine::finish_load`].
        number: u64,
        /// Whether the weights are already in memory.
        warm: bool,
    },
}

impl HostEngine {
    /// Returns an idle host without weights. `parameters` are those of the engine at rank 0.
    pub fn new(host: HostId, checks_fences: bool, parameters: EngineParameters) -> Self {
        Self {
            host,
            checks_fences,
            fault: EngineFault::None,
            model: EngineModel::new(parameters),
            phase: EnginePhase::Idle,
            membership: None,
            members_present: 0,
            members_checked_at: Duration::ZERO,
            has_lost_member: false,
            held: None,
            fence: Fence::default(),
            load_number: 0,
        }
    }

    /// Executes an order, or refuses it if fences are checked and its fence is too low. `now` is
    /// the time on the host's monotonic clock.
    pub fn handle_order(&mut self, now: Duration, order: Order) -> (OrderReply, Followup) {
        let fence = order.fence();
        if self.checks_fences && fence < self.fence {
            return (self.reply(now, false), Followup::None);
        }
        self.fence = fence;
        let followup = match order.command {
            Command::Load(load) => self.load(order.group, load),
            Command::Release { drain } => {
                self.release(order.group, drain);
                Followup::None
            }
            // Stand-in engines find their members and start to serve without these commands.
            Command::Open | Command::Stage { .. } => Followup::None,
        };
        (self.reply(now, true), followup)
    }

    fn reply(&self, now: Duration, accepted: bool) -> OrderReply {
        OrderReply {
            accepted,
            status: self.status(now),
        }
    }

    /// Joins a group and starts to load its weights, unless this load was already ordered.
    fn load(&mut self, group: GroupNumber, load: LoadCommand) -> Followup {
        let ordered = GroupMembership { group, load };
        if self.membership.as_ref() == Some(&ordered) {
            return Followup::None;
        }
        self.leave_group();
        let held = HeldModel {
            model: ordered.load.model.clone(),
            version: ordered.load.version.clone(),
        };
        let warm = self.held.as_ref() == Some(&held);
        self.held = Some(held);
        self.membership = Some(ordered);
        self.phase = EnginePhase::Loading;
        self.load_number += 1;
        Followup::Load {
            number: self.load_number,
            warm,
        }
    }

    /// Leaves the group if this host is a member of it: immediately or, with `drain`,
    /// after the sequences in the batch have completed.
    fn release(&mut self, group: GroupNumber, drain: bool) {
        let is_member = self.membership.as_ref().is_some_and(|m| m.group == group);
        if !is_member {
            return;
        }
        if drain && !self.model.is_idle() {
            self.phase = EnginePhase::Draining;
            return;
        }
        self.leave_group();
    }

    /// Leaves the group and cancels all sequences.
    pub fn leave_group(&mut self) {
        self.membership = None;
        self.phase = EnginePhase::Idle;
        self.members_present = 0;
        self.has_lost_member = false;
        self.model.reset();
    }

    /// Marks the weights as loaded, unless another load has started since the one with this
    /// number.
    pub fn finish_load(&mut self, number: u64) {
        if self.load_number == number && self.phase == EnginePhase::Loading {
            self.phase = EnginePhase::Ready;
        }
    }

    /// Leaves the group if the engine is draining and idle.
    pub fn finish_drain(&mut self) {
        if self.phase == EnginePhase::Draining && self.model.is_idle() {
            self.leave_group();
        }
    }

    /// Returns the group and the addresses of its other members, if this host is rank 0.
    pub fn other_members(&self) -> Option<(GroupNumber, Vec<Address>)> {
        let membership = self.membership.as_ref()?;
        if membership.load.rank != 0 {
            return None;
        }
        let other_members = membership.load.members.iter().skip(1).copied().collect();
        Some((membership.group, other_members))
    }

    /// Records that a check by rank 0 found `ready` of the `count` other members ready. Returns
    /// whether a member of a complete group was lost; all sequences are then cancelled.
    pub fn record_member_check(
        &mut self,
        now: Duration,
        group: GroupNumber,
        ready: u32,
        count: u32,
    ) -> bool {
        let is_current = self.membership.as_ref().is_some_and(|m| m.group == group);
        if !is_current || self.phase == EnginePhase::Loading {
            return false;
        }
        self.members_checked_at = now;
        let was_complete = self.members_present == count + 1;
        if was_complete && ready < count {
            self.has_lost_member = true;
            self.model.reset();
        }
        self.members_present = ready + 1;
        was_complete && ready < count
    }

    /// Whether a request for this group, or for any group if `None`, can run on this host now.
    pub fn can_serve(&self, now: Duration, group: Option<GroupNumber>) -> bool {
        let status = self.status(now);
        let Some(own) = status.group else {
            return false;
        };
        group.is_none_or(|group| group == own) && status.shows_complete(own)
    }

    /// Returns the status that the host reports.
    pub fn status(&self, now: Duration) -> EngineStatus {
        let membership = self.membership.as_ref();
        let is_rank_zero = membership.is_some_and(|m| m.load.rank == 0);
        let member_count = membership.map_or(0, |m| m.load.members.len() as u32);
        let ready = self.phase == EnginePhase::Ready || self.phase == EnginePhase::Draining;
        let present = if !ready || self.has_lost_member {
            0
        } else if is_rank_zero && member_count == 1 {
            1
        } else {
            self.members_present
        };
        EngineStatus {
            host: self.host.clone(),
            phase: self.phase,
            group: membership.map(|m| m.group),
            held: self.held.clone(),
            members_present: present,
            member_count,
            members_age_ms: if is_rank_zero && member_count > 1 {
                now.saturating_sub(self.members_checked_at).as_millis() as u64
            } else {
                0
            },
            load: if is_rank_zero {
                self.model.load()
            } else {
                Default::default()
            },
            started: None,
        }
    }
}
