//! Applies operations to the world, and checks the invariants after each step.

use std::time::Duration;

use rand::Rng;
use shalehinge::core::change::Change;
use shalehinge::core::event::Event;
use shalehinge::core::fingerprint::Fingerprint;
use shalehinge::core::objects::{KeyHash, Object, ObjectKey, Versioned};
use shalehinge::core::operator::{Confirm, OperatorAnswer, OperatorCall, OperatorCallId};
use shalehinge::core::platform::NoAnswer;
use shalehinge::core::router::request::{AttemptEnd, RequestMeta, Target};
use shalehinge::core::types::{
    AttemptId, Customer, FleetVersion, Incarnation, ModelName, ModelVersion, OperationId, RequestId,
};

use super::operations::Operation;
use super::oracle::{CallerRequest, RequestFacts};
use super::platform::Fault;
use super::world::{CUSTOMER, MODEL, STEP, World};

/// Number of idempotency keys that callers use; few, so that requests collide.
const KEY_COUNT: u8 = 6;

impl World {
    /// Applies one operation, then advances by one step.
    pub fn apply(&mut self, operation: Operation) {
        let (entry_count, host_count) = (self.entries.len(), self.hosts.len());
        let entry = |number: u8| usize::from(number) % entry_count;
        let host = |number: u8| usize::from(number) % host_count;
        let domains = self.domains.clone();
        let domain = |number: u8| domains[usize::from(number) % domains.len()].clone();
        match operation {
            Operation::Wait(steps) => self.run_for(STEP * u32::from(steps % 40)),
            Operation::KillDaemon(n) => self.kill(entry(n)),
            Operation::StartDaemon(n) => self.start(entry(n)),
            Operation::FreezeDaemon(n) => self.freeze(entry(n)),
            Operation::UnfreezeDaemon(n) => self.unfreeze(entry(n)),
            Operation::StopDaemon(n) => self.stop(entry(n)),
            Operation::PartitionDomain(n) => {
                let domain = domain(n);
                self.partitioned_domains.insert(domain);
            }
            Operation::PartitionFromPlatform(n) => {
                let domain = domain(n);
                self.platform_partitioned_domains.insert(domain);
            }
            Operation::HealPartitions => {
                self.partitioned_domains.clear();
                self.platform_partitioned_domains.clear();
            }
            Operation::PlatformFault(n) => self.set_fault(n),
            Operation::ClearPlatformFault => self.platform.fault = Fault::None,
            Operation::KillHost(n) => self.kill_host(host(n)),
            Operation::StartHost(n) => {
                let host = host(n);
                self.hosts[host].is_alive = true;
            }
            Operation::FreezeHost(n) => {
                let host = host(n);
                self.hosts[host].is_frozen = self.hosts[host].is_alive;
            }
            Operation::UnfreezeHost(n) => {
                let host = host(n);
                self.hosts[host].is_frozen = false;
            }
            Operation::HostLeaves(n) => {
                let id = self.hosts[host(n)].id.clone();
                let now = self.now;
                self.oracle.leaving_at.entry(id).or_insert(now);
                self.write_host_list();
            }
            Operation::CancelHostLeave(n) => {
                let id = self.hosts[host(n)].id.clone();
                self.oracle.leaving_at.remove(&id);
                self.write_host_list();
            }
            Operation::Request { daemon, kind, key } => {
                self.request(entry(daemon), kind, key);
            }
            Operation::Burst { daemon, kind, key } => {
                for number in 0..8u8 {
                    let daemon = entry(daemon.wrapping_add(number));
                    self.request(
                        daemon,
                        kind.wrapping_add(number / 4),
                        key.wrapping_add(number / 3),
                    );
                }
            }
            Operation::Plan {
                daemon,
                kind,
                value,
            } => {
                let change = self.change(kind, value);
                self.send_operator_call(entry(daemon), OperatorCall::Plan(change), None);
                self.run_for(STEP * 8);
            }
            Operation::Confirm { daemon, plan } => {
                self.confirm(entry(daemon), usize::from(plan));
            }
            Operation::SendStrayCompletions(n) => self.send_stray_completions(entry(n)),
            Operation::Settle => self.run_for(Duration::from_secs(8)),
        }
        self.step();
    }

    fn set_fault(&mut self, number: u8) {
        let faults = [
            Fault::Down,
            Fault::LoseAnswer,
            Fault::LoseWrite,
            Fault::DelayWrite,
        ];
        self.platform.fault = faults[usize::from(number) % faults.len()];
    }

    // --- callers ---

    /// Sends a caller's request, unless the daemon is not running. Kinds 0 and 1 carry an
    /// idempotency key, kind 2 has none and is not repeatable, kind 3 is repeatable.
    pub fn request(&mut self, index: usize, kind: u8, key: u8) -> Option<CallerRequest> {
        if !self.entries[index].is_running() {
            return None;
        }
        let caller = self.next_request;
        self.next_request += 1;
        let kind = kind % 4;
        let key = (kind < 2).then(|| KeyHash(u128::from(key % KEY_COUNT)));
        let repeatable = kind == 3;
        let facts = RequestFacts {
            key,
            repeatable,
            executions: 0,
            complete_answers: 0,
            outcome: None,
        };
        self.oracle.requests.insert(caller, facts);
        let time = Duration::from_secs(self.rng.random_range(3..15));
        self.deadlines.insert(caller, self.now + time);
        let entry = &mut self.entries[index];
        let request = entry.take_request_id();
        entry.requests.insert(request, caller);
        let meta = RequestMeta {
            customer: Customer::new(CUSTOMER),
            fingerprint: Fingerprint(caller),
            target: Target::Model(ModelName::new(MODEL)),
            prompt_tokens: 10,
            max_output_tokens: 8,
            deadline: entry.clock(self.now) + time,
            first_output_within: None,
            priority: 0,
            key,
            repeatable,
            prefix: Vec::new(),
            prompt_parts: Vec::new(),
            max_attempts: None,
            is_resumable: false,
            credential: None,
        };
        self.deliver_event(index, Event::Request { request, meta });
        Some(caller)
    }

    /// Sends the daemon completions of attempts for requests that they don't belong to, and of an
    /// attempt that doesn't exist.
    fn send_stray_completions(&mut self, index: usize) {
        let entry = &self.entries[index];
        let run = entry.run;
        let requests: Vec<RequestId> = entry.requests.keys().copied().collect();
        let mut attempts: Vec<AttemptId> = entry.open_attempts.keys().copied().collect();
        attempts.push(AttemptId {
            incarnation: Incarnation(7),
            sequence: 1,
        });
        for request in requests {
            for attempt in &attempts {
                if is_attempt_of(&self.entries[index].open_attempts, *attempt, request) {
                    continue;
                }
                let event = Event::AttemptEnded {
                    request,
                    attempt: *attempt,
                    end: AttemptEnd::Completed { output_tokens: 1 },
                };
                self.send_to_entry(STEP, index, run, event);
            }
        }
    }

    // --- operators ---

    fn change(&self, kind: u8, value: u8) -> Change {
        let model = ModelName::new(MODEL);
        match kind % 5 {
            0 => Change::Intent {
                model,
                version: ModelVersion::new(if value.is_multiple_of(2) { "v1" } else { "v2" }),
                replicas: 2 + u32::from(value % 3),
                hosts_per_replica: 2,
                owner: Customer::new(CUSTOMER),
            },
            1 => Change::Roll {
                model,
                version: ModelVersion::new(&format!("v{}", value % 3)),
            },
            2 => Change::Share {
                customer: Customer::new(CUSTOMER),
                share: 1 + u32::from(value % 5),
            },
            3 => Change::Drain {
                host: self.hosts[usize::from(value) % self.hosts.len()].id.clone(),
            },
            _ => Change::Undrain {
                host: self.hosts[usize::from(value) % self.hosts.len()].id.clone(),
            },
        }
    }

    /// Sends an operator call to a daemon; `operation` is the one that a confirm would apply.
    pub fn send_operator_call(
        &mut self,
        index: usize,
        call: OperatorCall,
        operation: Option<OperationId>,
    ) {
        if !self.entries[index].is_running() {
            return;
        }
        let call_id = OperatorCallId(self.next_operation);
        self.next_operation += 1;
        self.operator_calls.insert((index, call_id), operation);
        self.deliver_event(index, Event::Operator { call_id, call });
    }

    /// Confirms an earlier plan under a new operation ID. Returns `None` if there is no plan.
    pub fn confirm(&mut self, index: usize, plan: usize) -> Option<OperationId> {
        if self.plans.is_empty() {
            return None;
        }
        // One of the three newest plans, so that some are up to date and some conflict.
        let newest = self.plans.len().min(3);
        let plan = self.plans[self.plans.len() - 1 - plan % newest].clone();
        let operation = OperationId(1_000_000 + self.next_operation);
        let confirm = Confirm {
            change: plan.change,
            base: plan.base,
            digest: plan.digest,
            operation,
        };
        self.send_operator_call(index, OperatorCall::Confirm(confirm), Some(operation));
        Some(operation)
    }

    /// Records a daemon's answer to an operator call.
    pub fn record_operator_answer(
        &mut self,
        index: usize,
        call_id: OperatorCallId,
        answer: OperatorAnswer,
    ) {
        let operation = self.operator_calls.remove(&(index, call_id)).flatten();
        if let Some(operation) = operation {
            match &answer {
                OperatorAnswer::Confirmed { .. } => {
                    self.oracle.accepted_operations.insert(operation);
                }
                OperatorAnswer::OutOfDate { .. }
                | OperatorAnswer::Refused(_)
                | OperatorAnswer::PlatformUnavailable => {
                    self.oracle.refused_operations.insert(operation);
                }
                OperatorAnswer::Unclear | OperatorAnswer::Planned(_) => {}
            }
            self.operator_answers.push((operation, answer.clone()));
        }
        if let OperatorAnswer::Planned(plan) = answer {
            self.plans.push(*plan);
        }
    }

    // --- checks ---

    /// Checks all invariants.
    pub fn check_invariants(&mut self) {
        let is_disturbed = !self.partitioned_domains.is_empty()
            || !self.platform_partitioned_domains.is_empty()
            || self.platform.fault != Fault::None
            || self.entries.iter().any(|entry| entry.is_frozen);
        if is_disturbed {
            self.oracle.undisturbed_since = self.now;
        }
        if self.platform.fault != Fault::DelayWrite && !self.platform.delayed_writes.is_empty() {
            self.platform.apply_delayed_writes();
            self.oracle.config_written_at = self.now;
        }
        self.oracle.check_assignments(&self.platform.objects);
        self.oracle
            .check_operations(&self.platform.applied_operations);
        self.check_configs();
        self.check_leases();
    }

    fn check_configs(&mut self) {
        let newest = self.platform.objects.get(&ObjectKey::Fleet);
        let newest = newest.map_or(FleetVersion::NONE, fleet_version);
        for (index, entry) in self.entries.iter().enumerate() {
            let Some(core) = entry.core.as_ref().filter(|_| !entry.is_frozen) else {
                continue;
            };
            let in_force = core.state().fleet_version();
            let (run, started_at) = (entry.run, entry.started_at);
            self.oracle
                .check_config(self.now, index, run, started_at, in_force, newest);
        }
    }

    /// Checks that at most one daemon holds the lease of a failure domain according to its own
    /// clock, including frozen daemons.
    fn check_leases(&mut self) {
        for domain in &self.domains {
            let holders: Vec<&str> = self
                .entries
                .iter()
                .filter(|entry| entry.domain == *domain)
                .filter(|entry| {
                    let clock = entry.clock(self.now);
                    let core = entry.core.as_ref();
                    core.is_some_and(|core| core.lease().held(clock).is_some())
                })
                .map(|entry| entry.name.as_str())
                .collect();
            if holders.len() > 1 {
                let text = format!("the lease of {domain} is held by {holders:?}");
                self.oracle.report_violation(text);
            }
        }
    }

    /// Restores the platform from its backup, if there is one. Pending watches fail, and the host
    /// list is rewritten, as the platform's list maintainer would do.
    pub fn restore_platform(&mut self) {
        if !self.platform.restore() {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            let call = watch.call;
            let result = Err(NoAnswer);
            let event = Event::Platform { call, result };
            self.send_to_entry(STEP, watch.entry, watch.run, event);
        }
        self.write_host_list();
        self.oracle.undisturbed_since = self.now;
        self.oracle.config_written_at = self.now;
    }

    /// Removes all faults and restarts all hosts and daemons.
    pub fn heal(&mut self) {
        self.partitioned_domains.clear();
        self.platform_partitioned_domains.clear();
        self.platform.fault = Fault::None;
        self.oracle.leaving_at.clear();
        self.write_host_list();
        for host in &mut self.hosts {
            host.is_alive = true;
            host.is_frozen = false;
        }
        for index in 0..self.entries.len() {
            self.unfreeze(index);
            self.start(index);
        }
    }
}

fn fleet_version(object: &Versioned<Object>) -> FleetVersion {
    let Object::Fleet(fleet) = &object.value else {
        return FleetVersion::NONE;
    };
    FleetVersion {
        generation: fleet.generation,
        stored: object.version,
    }
}

fn is_attempt_of(
    running: &std::collections::BTreeMap<AttemptId, RequestId>,
    attempt: AttemptId,
    request: RequestId,
) -> bool {
    running.get(&attempt) == Some(&request)
}
