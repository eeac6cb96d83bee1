//! How simulated hosts handle messages: status requests, orders and attempts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use shalehinge::core::engine::{Command, EnginePhase, NoStatus, Order, OrderReply};
use shalehinge::core::event::{Event, StatusPurpose};
use shalehinge::core::objects::{GroupPhase, Object, ObjectKey};
use shalehinge::core::router::request::{Attempt, AttemptEnd, UpstreamId};
use shalehinge::core::types::{AttemptId, HostId, ReplicaId, Timestamp};
use standin::engine::model::SequenceSpec;
use standin::engine::state::Followup;

use super::oracle::group_members;
use super::world::{CALL_TIMEOUT, Delivery, STEP, World};

/// A message to a host.
pub enum HostMessage {
    /// Asks for the engine's status.
    Status {
        purpose: StatusPurpose,
        asked_at: Timestamp,
    },
    /// Gives the engine an order.
    Order { order: Order, asked_at: Timestamp },
    /// Runs a request.
    Attempt(Attempt),
    /// Checks whether the upstream accepts connections.
    Probe(UpstreamId),
}

/// An attempt that is running at a host.
pub struct Execution {
    pub entry: usize,
    /// Run of the daemon that sent it; the end is dropped if it has been restarted.
    pub run: u64,
    pub host: usize,
    pub attempt: Attempt,
    /// When it finishes.
    pub until: Duration,
}

impl World {
    /// Schedules a message to the host at an address; dropped if there is none.
    pub fn send_to_host(
        &mut self,
        entry: usize,
        run: u64,
        address: SocketAddr,
        message: HostMessage,
    ) {
        let Some(host) = self.hosts.iter().position(|host| host.address == address) else {
            return;
        };
        let delay = self.delay();
        let delivery = Delivery::Host {
            entry,
            run,
            host,
            message,
        };
        self.schedule_delivery(delay, delivery);
    }

    /// Handles a message that arrives at a host.
    pub fn handle_at_host(&mut self, entry: usize, run: u64, host: usize, message: HostMessage) {
        let is_cut_off = self.unreachable_hosts.contains(&host);
        let is_reached = self.hosts[host].is_alive && !is_cut_off && {
            let domain = self.hosts[host].domain.clone();
            self.can_reach(entry, &domain)
        };
        let answers = is_reached && !self.hosts[host].is_frozen;
        match message {
            HostMessage::Status { purpose, asked_at } => {
                let status = if answers {
                    Ok(self.hosts[host].engine.status(self.now))
                } else {
                    Err(NoStatus::Unanswered)
                };
                let delay = self.reply_delay(answers);
                let event = Event::Status {
                    purpose,
                    asked_at,
                    host: Some(self.hosts[host].id.clone()),
                    status,
                };
                self.send_to_entry(delay, entry, run, event);
            }
            HostMessage::Order { order, asked_at } => {
                let reply = answers.then(|| self.handle_order(host, order.clone()));
                let delay = self.reply_delay(answers);
                let event = Event::OrderAnswered {
                    host: self.hosts[host].id.clone(),
                    order,
                    asked_at,
                    reply,
                };
                self.send_to_entry(delay, entry, run, event);
            }
            HostMessage::Attempt(attempt) => {
                self.handle_attempt(entry, run, host, attempt, is_reached, answers);
            }
            HostMessage::Probe(upstream) => {
                let event = Event::UpstreamProbed {
                    upstream,
                    is_reachable: is_reached,
                };
                let delay = self.reply_delay(is_reached);
                self.send_to_entry(delay, entry, run, event);
            }
        }
    }

    fn reply_delay(&mut self, answers: bool) -> Duration {
        if answers { self.delay() } else { CALL_TIMEOUT }
    }

    fn handle_order(&mut self, host: usize, order: Order) -> OrderReply {
        self.check_order(host, &order);
        self.check_release(host, &order);
        let now = self.now;
        let (reply, followup) = self.hosts[host].engine.handle_order(now, order);
        if let Followup::Load { number, warm } = followup {
            let time = Duration::from_millis(if warm { 100 } else { 800 });
            self.hosts[host].pending_load = Some((number, now + time));
        }
        self.end_aborted_attempts(host);
        reply
    }

    /// Checks that no host of a complete group is ordered to leave it while that is forbidden.
    fn check_release(&mut self, host: usize, order: &Order) {
        let is_release = matches!(order.command, Command::Release { .. });
        if !is_release || !self.oracle.forbids_releases {
            return;
        }
        let replica = ReplicaId {
            failure_domain: self.hosts[host].domain.clone(),
            number: order.group,
        };
        let complete_at = self.oracle.last_complete_at.get(&replica);
        if complete_at.is_some_and(|at| *at + STEP >= self.now) {
            let id = &self.hosts[host].id;
            let text = format!("host {id} was ordered to leave {replica}, which is complete");
            self.oracle.report_violation(text);
        }
    }

    /// Checks that a host is never ordered into a group while it is in another, and that retiring
    /// a group aborts no requests.
    fn check_order(&mut self, host: usize, order: &Order) {
        let engine = &self.hosts[host].engine;
        let current = engine.membership.as_ref().map(|m| m.group);
        let other = current.filter(|group| *group != order.group);
        let is_load = matches!(order.command, Command::Load(_));
        // A host that checks fencing tokens rejects an order into an older group.
        let other = other.filter(|other| is_load && *other < order.group && engine.checks_fences);
        if let Some(other) = other {
            let id = &self.hosts[host].id;
            let text = format!("host {id} of {other:?} was ordered into {:?}", order.group);
            self.oracle.report_violation(text);
        }
        if order.command != (Command::Release { drain: false }) {
            return;
        }
        let domain = self.hosts[host].domain.clone();
        let key = ObjectKey::Assignment(domain.clone());
        let Some(Object::Assignment(assignment)) =
            self.platform.objects.get(&key).map(|object| &object.value)
        else {
            return;
        };
        let group = assignment.groups.get(&order.group);
        let Some(group) = group.filter(|group| group.phase == GroupPhase::Retiring) else {
            return;
        };
        let rank_zero = group.members.first().map(|member| member.host.clone());
        let has_running_requests = self.hosts.iter().any(|host| {
            Some(&host.id) == rank_zero.as_ref()
                && !host.running_attempts.is_empty()
                && host.is_ready_in(order.group)
        });
        if has_running_requests {
            let text = format!("retiring {:?} aborted requests", order.group);
            self.oracle.report_violation(text);
        }
    }

    /// Sends an attempt to its upstream.
    pub fn send_attempt(&mut self, entry: usize, run: u64, attempt: Attempt) {
        // The driver checks the evidence again right before it sends.
        if self.entries[entry].clock(self.now) >= attempt.valid_until {
            self.end_attempt(entry, run, &attempt, AttemptEnd::NotSent, STEP);
            return;
        }
        if let UpstreamId::Replica(replica) = &attempt.upstream {
            let members = self.known_members(entry, replica);
            let now = self.now;
            self.oracle.on_send(now, replica, &members);
        }
        let address = attempt.address;
        self.entries[entry]
            .open_attempts
            .insert(attempt.id, attempt.request);
        self.send_to_host(entry, run, address, HostMessage::Attempt(attempt));
    }

    fn known_members(&self, entry: usize, replica: &ReplicaId) -> Vec<HostId> {
        let core = self.entries[entry].core.as_ref();
        let assignments = core.map(|core| core.state().assignments());
        assignments
            .and_then(|assignments| assignments.get(&replica.failure_domain))
            .map(|assignment| group_members(&assignment.value, replica))
            .unwrap_or_default()
    }

    fn handle_attempt(
        &mut self,
        entry: usize,
        run: u64,
        host: usize,
        attempt: Attempt,
        is_reached: bool,
        answers: bool,
    ) {
        let is_abandoned = !self.entries[entry].open_attempts.contains_key(&attempt.id)
            || self.entries[entry].run != run;
        if !is_reached {
            self.end_attempt(entry, run, &attempt, AttemptEnd::NotSent, STEP);
            return;
        }
        if !answers {
            self.end_attempt(entry, run, &attempt, AttemptEnd::Lost, CALL_TIMEOUT * 3);
            return;
        }
        if !self.hosts[host].engine.can_serve(self.now, attempt.group) {
            self.end_attempt(entry, run, &attempt, AttemptEnd::Refused, STEP);
            return;
        }
        if is_abandoned && self.rng.random_bool(0.5) {
            // The engine may or may not notice that the connection was closed.
            return;
        }
        if let Some(caller) = self.entries[entry].requests.get(&attempt.request).copied() {
            self.oracle.on_execution(caller);
            let key = self
                .oracle
                .requests
                .get(&caller)
                .and_then(|facts| facts.key);
            let daemon = self.entries[entry].name.clone();
            self.platform.note(&format!(
                "request {caller} with key {key:?} of {daemon:?} runs"
            ));
        }
        let time = STEP * self.rng.random_range(2..60);
        let until = self.now + time;
        self.hosts[host].running_attempts.insert(attempt.id, until);
        let id = sequence_id(attempt.id);
        self.hosts[host].engine.model.submit(SequenceSpec {
            id,
            prompt_tokens: 1,
            output_tokens: 1,
            prefix: Vec::new(),
            priority: 0,
        });
        self.executions.push(Execution {
            entry,
            run,
            host,
            attempt,
            until,
        });
    }

    /// Schedules the end of an attempt for its daemon.
    pub fn end_attempt(
        &mut self,
        entry: usize,
        run: u64,
        attempt: &Attempt,
        end: AttemptEnd,
        delay: Duration,
    ) {
        let event = Event::AttemptEnded {
            request: attempt.request,
            attempt: attempt.id,
            end,
        };
        self.send_to_entry(delay, entry, run, event);
    }

    /// Finishes loads and requests that are due, and updates what each rank 0 knows of its
    /// members.
    pub fn step_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            self.finish_load(index);
        }
        self.finish_requests();
        for index in 0..self.hosts.len() {
            self.update_member_view(index);
        }
        self.record_complete_groups();
    }

    fn finish_load(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if let Some((number, until)) = host.pending_load
            && host.is_running()
            && now >= until
        {
            host.engine.finish_load(number);
            host.pending_load = None;
        }
    }

    fn finish_requests(&mut self) {
        for execution in std::mem::take(&mut self.executions) {
            let host = &self.hosts[execution.host];
            if host.is_frozen || (host.is_alive && self.now < execution.until) {
                self.executions.push(execution);
                continue;
            }
            let is_done = host.running_attempts.contains_key(&execution.attempt.id);
            let domain = host.domain.clone();
            let is_delivered = self.can_reach(execution.entry, &domain);
            self.end_execution(execution, is_done && is_delivered);
        }
    }

    fn end_execution(&mut self, execution: Execution, is_complete: bool) {
        let Execution {
            entry,
            run,
            host,
            attempt,
            ..
        } = execution;
        let host = &mut self.hosts[host];
        host.running_attempts.remove(&attempt.id);
        host.engine.model.cancel(sequence_id(attempt.id));
        host.engine.finish_drain();
        if !is_complete {
            self.end_attempt(entry, run, &attempt, AttemptEnd::Lost, STEP);
            return;
        }
        let request = attempt.request;
        if self.entries[entry].run == run
            && let Some(caller) = self.entries[entry].requests.get(&request)
            && let Some(facts) = self.oracle.requests.get_mut(caller)
        {
            facts.complete_answers += 1;
        }
        let end = AttemptEnd::Completed { output_tokens: 8 };
        self.end_attempt(entry, run, &attempt, end, STEP);
        // Some responses are delivered twice.
        if self.rng.random_bool(0.1) {
            self.end_attempt(entry, run, &attempt, end, STEP * 3);
        }
    }

    /// Ends attempts that the engine of a host aborted as lost.
    fn end_aborted_attempts(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.engine.model.is_idle() {
            host.running_attempts.clear();
        }
        for execution in std::mem::take(&mut self.executions) {
            let host = &self.hosts[execution.host];
            let is_aborted = execution.host == index
                && !host.running_attempts.contains_key(&execution.attempt.id);
            if is_aborted {
                self.end_execution(execution, false);
            } else {
                self.executions.push(execution);
            }
        }
    }

    fn update_member_view(&mut self, index: usize) {
        if !self.hosts[index].is_running() {
            return;
        }
        let Some((group, others)) = self.hosts[index].engine.other_members() else {
            return;
        };
        let count = others.len() as u32;
        let ready = self
            .hosts
            .iter()
            .filter(|host| others.contains(&host.address) && host.is_ready_in(group))
            .count() as u32;
        let now = self.now;
        let engine = &mut self.hosts[index].engine;
        if engine.record_member_check(now, group, ready, count) {
            self.end_aborted_attempts(index);
        }
    }

    /// Records which groups are actually complete, independent of what daemons know.
    fn record_complete_groups(&mut self) {
        let mut complete = Vec::new();
        for host in &self.hosts {
            let Some(membership) = &host.engine.membership else {
                continue;
            };
            let members = &membership.load.members;
            let all_ready = members.iter().all(|address| {
                let member = self.hosts.iter().find(|other| other.address == *address);
                member.is_some_and(|member| member.is_ready_in(membership.group))
            });
            let serves = host.engine.phase == EnginePhase::Ready && !host.engine.has_lost_member;
            if all_ready && serves && membership.load.rank == 0 {
                complete.push(ReplicaId {
                    failure_domain: host.domain.clone(),
                    number: membership.group,
                });
            }
        }
        for replica in complete {
            self.oracle.last_complete_at.insert(replica, self.now);
        }
    }

    /// Takes a host down; attempts that run there are lost.
    pub fn kill_host(&mut self, index: usize) {
        self.hosts[index].kill();
        self.end_aborted_attempts(index);
    }
}

/// Maps an attempt to the number of its sequence in the engine.
fn sequence_id(attempt: AttemptId) -> u64 {
    attempt.incarnation.0.rotate_left(32) ^ attempt.sequence
}
