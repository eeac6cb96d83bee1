//! Plans that operators read and confirm.
//!
//! A plan is computed from objects read for it. Confirming computes it again
//! from fresh objects and goes on only if it came out the same; the one write
//! is conditional on the version that the plan was made from. Two racing
//! confirms can't both win. After an unclear write the operation id in the
//! object tells whose write it was.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::change::{Change, ChangeError};
use super::fleet_state::FleetState;
use super::objects::{Assignment, FleetConfig, HostList, Object, ObjectKey};
use super::placement::{Effects, preview};
use super::platform::{Freshness, PlatformCall, PlatformReply, PlatformResult, Scope};
use super::types::{FailureDomain, OperationId, Timestamp, Version};

/// How long a confirm tries to learn what became of its write.
const READ_BACK_FOR: Duration = Duration::from_secs(10);

/// Identifies a call of an operator, so that its answer finds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCallId(pub u64);

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorCall {
    /// What would happen.
    Plan(Change),
    /// Do it, if that is still what would happen.
    Confirm(Confirm),
}

/// Confirms a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Confirm {
    /// The change of the plan.
    pub change: Change,
    /// Version of the configuration that the plan was made from.
    pub base: Version,
    /// Digest of the plan.
    pub digest: String,
    /// Chosen by the caller; the same for a repeated confirm of one plan.
    pub operation: OperationId,
}

/// What would happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The change asked for.
    pub change: Change,
    /// Version of the configuration that it was made from.
    pub base: Version,
    /// SHA-256 of the plan, in hexadecimal.
    pub digest: String,
    /// What happens in each failure domain.
    pub effects: BTreeMap<FailureDomain, Effects>,
}

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// The plan; nothing has changed.
    Planned(Box<Plan>),
    /// Accepted: it is stored, and will be in force everywhere within seconds.
    Confirmed {
        /// Version of the configuration.
        version: Version,
    },
    /// Nothing was changed, as the plan no longer holds.
    OutOfDate {
        /// Version now in force.
        version: Version,
        /// The plan as it would be now.
        plan: Option<Box<Plan>>,
    },
    /// Nothing was changed, as the change makes no sense.
    Refused(ChangeError),
    /// Nothing was changed, as the platform does not answer.
    PlatformUnavailable,
    /// It is not known whether it was accepted; the same confirm may be repeated.
    Unclear,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Objects are being read.
    Reading,
    /// The write is on its way.
    Writing(Box<FleetConfig>),
    /// It is being read whose write took effect.
    ReadingBack(Box<FleetConfig>),
}

#[derive(Clone, Debug)]
struct Session {
    call: OperatorCall,
    stage: Stage,
    give_up_at: Timestamp,
}

/// The operators' calls that a daemon works on.
#[derive(Clone, Debug, Default)]
pub struct Operators {
    sessions: BTreeMap<OperatorCallId, Session>,
}

/// What a call needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorStep {
    /// Call the platform.
    Platform(PlatformCall),
    /// Done.
    Answer(OperatorAnswer),
}

impl Operators {
    /// Takes in a call.
    pub fn begin(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        call: OperatorCall,
    ) -> OperatorStep {
        let session = Session {
            call,
            stage: Stage::Reading,
            give_up_at: now + READ_BACK_FOR,
        };
        self.sessions.insert(id, session);
        OperatorStep::Platform(fresh_list())
    }

    /// The platform answered a call made for `id`. `state` has the answer in it.
    pub fn on_platform(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        result: &PlatformResult,
        state: &FleetState,
    ) -> Option<OperatorStep> {
        let session = self.sessions.get_mut(&id)?;
        let step = session.advance(now, result, state);
        if matches!(step, OperatorStep::Answer(_)) {
            self.sessions.remove(&id);
        }
        Some(step)
    }
}

impl Session {
    fn advance(
        &mut self,
        now: Timestamp,
        result: &PlatformResult,
        state: &FleetState,
    ) -> OperatorStep {
        let is_over = now >= self.give_up_at;
        match (&self.stage, result) {
            (Stage::Reading, Ok(_)) => self.decide(state),
            (Stage::Reading, Err(_)) => OperatorStep::Answer(OperatorAnswer::PlatformUnavailable),
            (Stage::Writing(_), Ok(PlatformReply::Written(version))) => {
                OperatorStep::Answer(OperatorAnswer::Confirmed { version: *version })
            }
            (Stage::Writing(written), _) => {
                self.stage = Stage::ReadingBack(written.clone());
                OperatorStep::Platform(fresh_list())
            }
            (Stage::ReadingBack(written), Ok(_)) => {
                let written = written.clone();
                self.decide_written(is_over, written, state)
            }
            (Stage::ReadingBack(_), Err(_)) if is_over => {
                OperatorStep::Answer(OperatorAnswer::Unclear)
            }
            (Stage::ReadingBack(_), Err(_)) => OperatorStep::Platform(fresh_list()),
        }
    }

    /// From fresh objects: answer a plan, or write a confirm.
    fn decide(&mut self, state: &FleetState) -> OperatorStep {
        let known = Known::from(state);
        let confirm = match &self.call {
            OperatorCall::Plan(change) => return OperatorStep::Answer(known.answer_plan(change)),
            OperatorCall::Confirm(confirm) => confirm,
        };
        if known.fleet.operations.contains(confirm.operation) {
            return confirmed(known.version);
        }
        let plan = match known.plan(&confirm.change) {
            Ok(plan) => plan,
            Err(error) => return OperatorStep::Answer(OperatorAnswer::Refused(error)),
        };
        if known.version != confirm.base || plan.digest != confirm.digest {
            return out_of_date(known.version, Some(plan));
        }
        let mut fleet = match confirm.change.apply(&known.fleet, &known.hosts) {
            Ok(fleet) => fleet,
            Err(error) => return OperatorStep::Answer(OperatorAnswer::Refused(error)),
        };
        fleet.operations.record(confirm.operation);
        fleet.generation += 1;
        let base = confirm.base;
        self.write(base, Box::new(fleet))
    }

    /// After an unclear write, from fresh objects. While the version is still
    /// the one that the write was conditional on, it may yet take effect, so
    /// nothing else may be said: the same write is sent again. Under one version
    /// it takes effect once at most.
    fn decide_written(
        &mut self,
        is_over: bool,
        written: Box<FleetConfig>,
        state: &FleetState,
    ) -> OperatorStep {
        let OperatorCall::Confirm(confirm) = &self.call else {
            return OperatorStep::Answer(OperatorAnswer::Unclear);
        };
        let known = Known::from(state);
        if known.fleet.operations.contains(confirm.operation) {
            return confirmed(known.version);
        }
        if known.version > confirm.base {
            let plan = known.plan(&confirm.change).ok();
            return out_of_date(known.version, plan);
        }
        if is_over {
            return OperatorStep::Answer(OperatorAnswer::Unclear);
        }
        let base = confirm.base;
        self.write(base, written)
    }

    fn write(&mut self, base: Version, fleet: Box<FleetConfig>) -> OperatorStep {
        self.stage = Stage::Writing(fleet.clone());
        OperatorStep::Platform(PlatformCall::Put {
            key: ObjectKey::Fleet,
            expect: base,
            object: Box::new(Object::Fleet(*fleet)),
        })
    }
}

fn confirmed(version: Version) -> OperatorStep {
    OperatorStep::Answer(OperatorAnswer::Confirmed { version })
}

fn out_of_date(version: Version, plan: Option<Plan>) -> OperatorStep {
    let plan = plan.map(Box::new);
    OperatorStep::Answer(OperatorAnswer::OutOfDate { version, plan })
}

/// The objects that a plan is made from.
struct Known {
    version: Version,
    fleet: FleetConfig,
    hosts: HostList,
    assignments: BTreeMap<FailureDomain, Assignment>,
}

impl Known {
    fn from(state: &FleetState) -> Self {
        let hosts = state.hosts().map(|o| o.value.clone()).unwrap_or_default();
        let mut assignments: BTreeMap<FailureDomain, Assignment> = hosts
            .hosts
            .values()
            .map(|host| (host.failure_domain.clone(), Assignment::default()))
            .collect();
        for (domain, assignment) in state.assignments() {
            assignments.insert(domain.clone(), assignment.value.clone());
        }
        Self {
            version: state.stored_fleet_version(),
            fleet: state.fleet().map(|o| o.value.clone()).unwrap_or_default(),
            hosts,
            assignments,
        }
    }

    fn answer_plan(&self, change: &Change) -> OperatorAnswer {
        match self.plan(change) {
            Ok(plan) => OperatorAnswer::Planned(Box::new(plan)),
            Err(error) => OperatorAnswer::Refused(error),
        }
    }

    fn plan(&self, change: &Change) -> Result<Plan, ChangeError> {
        let fleet = change.apply(&self.fleet, &self.hosts)?;
        let effects: BTreeMap<FailureDomain, Effects> = self
            .assignments
            .iter()
            .map(|(domain, assignment)| {
                let effects = preview(domain, &fleet, &self.hosts, assignment);
                (domain.clone(), effects)
            })
            .collect();
        Ok(Plan {
            change: change.clone(),
            base: self.version,
            digest: digest(change, self.version, &effects),
            effects,
        })
    }
}

fn digest(change: &Change, base: Version, effects: &BTreeMap<FailureDomain, Effects>) -> String {
    let text = format!("{change:?} {base:?} {effects:?}");
    hex(&Sha256::digest(text.as_bytes()))
}

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Plans are made and confirmed on what the platform holds now.
fn fresh_list() -> PlatformCall {
    PlatformCall::List {
        scope: Scope::Shared,
        freshness: Freshness::Exact,
    }
}
