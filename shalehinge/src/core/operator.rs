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
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

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
    read_back_until: Timestamp,
}

/// The operators' calls that a daemon works on.
#[derive(Clone, Debug, Default)]
pub struct OperatorCalls {
    sessions_by_call: BTreeMap<OperatorCallId, Session>,
}

/// What a call needs next.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorStep {
    /// Call the platform.
    Platform(PlatformCall),
    /// Done.
    Answer(OperatorAnswer),
}

impl OperatorCalls {
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
            read_back_until: now + READ_BACK_TIMEOUT,
        };
        self.sessions_by_call.insert(id, session);
        OperatorStep::Platform(exact_list_call())
    }

    /// The platform answered a call made for `id`. `state` has the answer in it.
    pub fn on_platform(
        &mut self,
        now: Timestamp,
        id: OperatorCallId,
        result: &PlatformResult,
        state: &FleetState,
    ) -> Option<OperatorStep> {
        let session = self.sessions_by_call.get_mut(&id)?;
        let step = session.advance(now, result, state);
        if matches!(step, OperatorStep::Answer(_)) {
            self.sessions_by_call.remove(&id);
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
        let is_timed_out = now >= self.read_back_until;
        match (&self.stage, result) {
            (Stage::Reading, Ok(_)) => self.handle_fresh_objects(state),
            (Stage::Reading, Err(_)) => OperatorStep::Answer(OperatorAnswer::PlatformUnavailable),
            (Stage::Writing(_), Ok(PlatformReply::Written(version))) => {
                OperatorStep::Answer(OperatorAnswer::Confirmed { version: *version })
            }
            (Stage::Writing(written), _) => {
                self.stage = Stage::ReadingBack(written.clone());
                OperatorStep::Platform(exact_list_call())
            }
            (Stage::ReadingBack(written), Ok(_)) => {
                let written = written.clone();
                self.resolve_unclear_write(is_timed_out, written, state)
            }
            (Stage::ReadingBack(_), Err(_)) if is_timed_out => {
                OperatorStep::Answer(OperatorAnswer::Unclear)
            }
            (Stage::ReadingBack(_), Err(_)) => OperatorStep::Platform(exact_list_call()),
        }
    }

    /// From fresh objects: answer a plan, or write a confirm.
    fn handle_fresh_objects(&mut self, state: &FleetState) -> OperatorStep {
        let inputs = PlanInputs::from(state);
        let confirm = match &self.call {
            OperatorCall::Plan(change) => return OperatorStep::Answer(inputs.answer_plan(change)),
            OperatorCall::Confirm(confirm) => confirm,
        };
        if inputs.fleet.operations.contains(confirm.operation) {
            return confirmed_step(inputs.version);
        }
        let plan = match inputs.plan(&confirm.change) {
            Ok(plan) => plan,
            Err(error) => return OperatorStep::Answer(OperatorAnswer::Refused(error)),
        };
        if inputs.version != confirm.base || plan.digest != confirm.digest {
            return out_of_date_step(inputs.version, Some(plan));
        }
        let mut fleet = match confirm.change.apply(&inputs.fleet, &inputs.hosts) {
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
    fn resolve_unclear_write(
        &mut self,
        is_timed_out: bool,
        written: Box<FleetConfig>,
        state: &FleetState,
    ) -> OperatorStep {
        let OperatorCall::Confirm(confirm) = &self.call else {
            return OperatorStep::Answer(OperatorAnswer::Unclear);
        };
        let inputs = PlanInputs::from(state);
        if inputs.fleet.operations.contains(confirm.operation) {
            return confirmed_step(inputs.version);
        }
        if inputs.version > confirm.base {
            let plan = inputs.plan(&confirm.change).ok();
            return out_of_date_step(inputs.version, plan);
        }
        if is_timed_out {
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

fn confirmed_step(version: Version) -> OperatorStep {
    OperatorStep::Answer(OperatorAnswer::Confirmed { version })
}

fn out_of_date_step(version: Version, plan: Option<Plan>) -> OperatorStep {
    let plan = plan.map(Box::new);
    OperatorStep::Answer(OperatorAnswer::OutOfDate { version, plan })
}

/// The objects that a plan is made from.
struct PlanInputs {
    version: Version,
    fleet: FleetConfig,
    hosts: HostList,
    assignments: BTreeMap<FailureDomain, Assignment>,
}

impl PlanInputs {
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
            digest: plan_digest(change, self.version, &effects),
            effects,
        })
    }
}

fn plan_digest(
    change: &Change,
    base: Version,
    effects: &BTreeMap<FailureDomain, Effects>,
) -> String {
    let text = format!("{change:?} {base:?} {effects:?}");
    hex(&Sha256::digest(text.as_bytes()))
}

/// Bytes in hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Plans are made and confirmed on what the platform holds now.
fn exact_list_call() -> PlatformCall {
    PlatformCall::List {
        scope: Scope::Shared,
        freshness: Freshness::Exact,
    }
}
