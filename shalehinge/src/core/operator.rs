//! Plans that operators review and confirm.
//!
//! A plan is computed from freshly read objects. Confirming it computes the plan again from fresh
//! objects and proceeds only if the result is the same. The single write is conditional on the
//! configuration version that the plan was based on, so of two concurrent confirms at most one
//! takes effect. If the platform doesn't answer the write, the operation ids in the object show
//! whether the write took effect.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::change::{Change, ChangeError};
use super::fleet_state::FleetState;
use super::objects::{Assignment, FleetConfig, HostList, Object, ObjectKey};
use super::placement::{Effects, preview};
use super::platform::{EraScope, Freshness, PlatformCall, PlatformReply, PlatformResult, Scope};
use super::types::{FailureDomain, OperationId, Timestamp, Version};

/// How long a call tries to find out whether its write took effect, from the start of the call.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Identifies an operator's call, to match its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorCallId(pub u64);

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorCall {
    /// Compute the effects of a change without applying it.
    Plan(Change),
    /// Apply a planned change, if its effects are still the same.
    Confirm(Confirm),
}

/// Request to apply a plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Confirm {
    /// The planned change.
    pub change: Change,
    /// Version of the configuration that the plan was based on.
    pub base: Version,
    /// Digest of the plan, see [`Plan::digest`].
    pub digest: String,
    /// Operation id chosen by the caller; a repeated confirm of one plan uses the same id, so that
    /// the change is applied only once.
    pub operation: OperationId,
}

/// The effects that a change would have.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The requested change.
    pub change: Change,
    /// Version of the configuration that the plan is based on.
    pub base: Version,
    /// SHA-256 of the plan, in hexadecimal.
    pub digest: String,
    /// Effects of the change in each failure domain.
    pub effects: BTreeMap<FailureDomain, Effects>,
}

/// Answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorAnswer {
    /// The plan; nothing was changed.
    Planned(Box<Plan>),
    /// The change is stored, and will be in force at all daemons within seconds.
    Confirmed {
        /// Version of the configuration that contains the change.
        version: Version,
    },
    /// Nothing was changed, as the plan is out of date.
    OutOfDate {
        /// Current version of the configuration.
        version: Version,
        /// The plan based on the current objects, if the change is still valid.
        plan: Option<Box<Plan>>,
    },
    /// Nothing was changed, as the change is invalid.
    Refused(ChangeError),
    /// Nothing was changed, as the platform did not answer.
    PlatformUnavailable,
    /// It is unknown whether the change was stored; the same confirm can safely be repeated.
    Unclear,
}

#[derive(Clone, Debug)]
enum Stage {
    /// Waiting for the objects that the plan is computed from.
    Reading,
    /// Waiting for the result of the conditional write.
    Writing(Box<FleetConfig>),
    /// Reading the objects again to find out whether the write took effect.
    ReadingBack(Box<FleetConfig>),
}

#[derive(Clone, Debug)]
struct Session {
    call: OperatorCall,
    stage: Stage,
    read_back_until: Timestamp,
}

/// The operators' calls in progress at a daemon.
#[derive(Clone, Debug, Default)]
pub struct OperatorCalls {
    sessions_by_call: BTreeMap<OperatorCallId, Session>,
}

/// Next step of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorStep {
    /// Send this call to the platform; its result goes to [`OperatorCalls::on_platform`].
    Platform(PlatformCall),
    /// Send this answer to the operator; the call has ended.
    Answer(OperatorAnswer),
}

impl OperatorCalls {
    /// Starts a call and returns its first step.
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

    /// Handles the result of a platform call made for `id` and returns the next step. `state` must
    /// already include the result. Returns `None` if the call is unknown or has ended.
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

    /// With fresh objects: answers a plan, or starts the write of a confirm.
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

    /// With fresh objects after an unclear write. While the version is still the one that the
    /// write was conditional on, the write may yet take effect, so the call can't be answered and
    /// the same write is sent again. As both depend on one version, at most one takes effect.
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
            scope: EraScope::Shared,
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

/// The objects that a plan is computed from.
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

/// Formats bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// An exact list of all shared objects: plans must not be based on stale reads.
fn exact_list_call() -> PlatformCall {
    PlatformCall::List {
        scope: Scope::Shared,
        freshness: Freshness::Exact,
    }
}
