//! Groups, orders and fences of one stand-in host.

use std::time::Duration;

use shalehinge::core::engine::{
    Command, EnginePhase, EngineStatus, Fence, HeldModel, LoadCommand, Order, OrderReply,
};
use shalehinge::core::types::{Address, GroupNumber, HostId};

use super::faults::EngineFault;
use super::model::{EngineModel, EngineParameters};

/// What a host remembers.
#[derive(Debug)]
pub struct HostEngine {
    /// Its name.
    pub host: HostId,
    /// Whether it refuses orders older than the last.
    pub checks_fences: bool,
    /// What it does wrong.
    pub fault: EngineFault,
    /// The batch; used at rank 0.
    pub model: EngineModel,
    /// What it is doing.
    pub phase: EnginePhase,
    /// Its place in a group.
    pub membership: Option<GroupMembership>,
    /// Other members seen ready, rank 0 only.
    pub members_present: u32,
    /// When rank 0 last looked at the others, by the host's monotonic clock.
    looked_at: Duration,
    /// A member was lost since the group was complete: it can't serve any more.
    pub is_broken: bool,
    held: Option<HeldModel>,
    fence: Fence,
    /// Counts the loads begun, so that an outdated one can tell.
    pub load_number: u64,
}

/// Place in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Number of the group.
    pub group: GroupNumber,
    /// What was ordered.
    pub load: LoadCommand,
}

/// What must follow an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Followup {
    /// Nothing.
    None,
    /// Weights must be loaded; warm if they are in memory.
    Load {
        /// Which load this is.
        number: u64,
        /// Whether the weights are in memory.
        warm: bool,
    },
}

impl HostEngine {
    /// An idle host.
    pub fn new(host: HostId, checks_fences: bool, parameters: EngineParameters) -> Self {
        Self {
            host,
            checks_fences,
            fault: EngineFault::None,
            model: EngineModel::new(parameters),
            phase: EnginePhase::Idle,
            membership: None,
            members_present: 0,
            looked_at: Duration::ZERO,
            is_broken: false,
            held: None,
            fence: Fence::default(),
            load_number: 0,
        }
    }

    /// Takes an order, or refuses it as too old.
    pub fn take_order(&mut self, now: Duration, order: Order) -> (OrderReply, Followup) {
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
            // These engines gather their members and open by themselves.
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

    fn load(&mut self, group: GroupNumber, load: LoadCommand) -> Followup {
        let wanted = GroupMembership { group, load };
        if self.membership.as_ref() == Some(&wanted) {
            return Followup::None;
        }
        self.leave();
        let held = HeldModel {
            model: wanted.load.model.clone(),
            version: wanted.load.version.clone(),
        };
        let warm = self.held.as_ref() == Some(&held);
        self.held = Some(held);
        self.membership = Some(wanted);
        self.phase = EnginePhase::Loading;
        self.load_number += 1;
        Followup::Load {
            number: self.load_number,
            warm,
        }
    }

    fn release(&mut self, group: GroupNumber, drain: bool) {
        let is_member = self.membership.as_ref().is_some_and(|m| m.group == group);
        if !is_member {
            return;
        }
        if drain && !self.model.is_idle() {
            self.phase = EnginePhase::Draining;
            return;
        }
        self.leave();
    }

    /// Leaves the group; what ran is broken off.
    pub fn leave(&mut self) {
        self.membership = None;
        self.phase = EnginePhase::Idle;
        self.members_present = 0;
        self.is_broken = false;
        self.model.reset();
    }

    /// Weights are loaded; an outdated load changes nothing.
    pub fn finish_load(&mut self, number: u64) {
        if self.load_number == number && self.phase == EnginePhase::Loading {
            self.phase = EnginePhase::Ready;
        }
    }

    /// A draining engine that is idle leaves its group.
    pub fn finish_drain(&mut self) {
        if self.phase == EnginePhase::Draining && self.model.is_idle() {
            self.leave();
        }
    }

    /// Other members, if this is rank 0.
    pub fn others(&self) -> Option<(GroupNumber, Vec<Address>)> {
        let membership = self.membership.as_ref()?;
        if membership.load.rank != 0 {
            return None;
        }
        let others = membership.load.members.iter().skip(1).copied().collect();
        Some((membership.group, others))
    }

    /// Rank 0 saw so many of the others ready. Returns whether it lost one.
    pub fn see_others(
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
        self.looked_at = now;
        let was_complete = self.members_present == count + 1;
        if was_complete && ready < count {
            self.is_broken = true;
            self.model.reset();
        }
        self.members_present = ready + 1;
        was_complete && ready < count
    }

    /// Whether a request for this group can run here now.
    pub fn can_serve(&self, now: Duration, group: Option<GroupNumber>) -> bool {
        let status = self.status(now);
        let Some(own) = status.group else {
            return false;
        };
        group.is_none_or(|group| group == own) && status.shows_complete(own)
    }

    /// The status as it is told.
    pub fn status(&self, now: Duration) -> EngineStatus {
        let membership = self.membership.as_ref();
        let is_rank_zero = membership.is_some_and(|m| m.load.rank == 0);
        let member_count = membership.map_or(0, |m| m.load.members.len() as u32);
        let ready = self.phase == EnginePhase::Ready || self.phase == EnginePhase::Draining;
        let present = if !ready || self.is_broken {
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
                now.saturating_sub(self.looked_at).as_millis() as u64
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
