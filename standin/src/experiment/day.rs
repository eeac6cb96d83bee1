//! Simulation of a day of host failures in one failure domain.
//!
//! The planner is the one that the daemons use. Loads share the bandwidth of the weight store;
//! the loss of a member is detected, and its group dissolved, after 2 s; failed hosts return
//! after hours.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::objects::{
    Assignment, CustomerConfig, FleetConfig, GroupPhase, HostList, HostRecord, HostState,
    ModelIntent, PlacementWeights,
};
use shalehinge::core::placement::host_choice::HostChoice;
use shalehinge::core::placement::planner::HeldWeights;
use shalehinge::core::placement::preview::apply_step;
use shalehinge::core::placement::replica_demand::UNKNOWN_DEMAND;
use shalehinge::core::placement::stranded::stranded_accelerators;
use shalehinge::core::placement::{PlacementContext, PlacementStep, next_steps};
use shalehinge::core::types::{
    Customer, FabricDomain, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
};

/// Time from the loss of a host until its group is dissolved and released, in seconds.
const LOSS_DETECTION_SECONDS: f64 = 2.0;
/// Time that the weight store takes to load one host, in seconds.
const LOAD_SECONDS_PER_HOST: f64 = 4.0;
/// Time from the last load of a group until its replica serves, in seconds.
const STARTUP_SECONDS: f64 = 30.0;
/// Duration of the simulation, in seconds.
const DAY_SECONDS: f64 = 86_400.0;
/// Time until a failed host returns in hours, as a half-open range.
const REPAIR_HOURS: (f64, f64) = (2.0, 12.0);
/// Number of accelerators per host.
const ACCELERATORS_PER_HOST: u32 = 8;

/// A model to place.
#[derive(Clone, Copy, Debug)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: &'static str,
    /// Number of hosts per replica.
    pub hosts_per_replica: u32,
    /// Number of replicas to run.
    pub replicas: u32,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct DaySpec {
    /// Number of hosts in each fabric domain.
    pub fabric_domain_sizes: Vec<usize>,
    /// Models to place.
    pub models: Vec<ModelSpec>,
    /// Placement weights of the fleet.
    pub weights: PlacementWeights,
    /// Policy by which the planner chooses hosts.
    pub host_choice: HostChoice,
    /// Mean number of failures per host and day.
    pub failures_per_host_day: f64,
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct DayResult {
    /// Time during which configured replicas didn't serve, in replica hours.
    pub downtime_hours: f64,
    /// Time during which accelerators were idle and no group could form on them, in accelerator
    /// hours.
    pub stranded_accelerator_hours: f64,
    /// Lower bound on the downtime under any placement, given the live hosts of the fabric
    /// domains, in replica hours.
    pub unavoidable_downtime_hours: f64,
    /// Number of host loads from the weight store.
    pub host_loads: u32,
}

/// Event of the simulation.
#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// A host fails.
    HostFailed(HostId),
    /// A failed host returns.
    HostReturned(HostId),
    /// The loss of a member of a group is detected.
    LossDetected(GroupNumber),
    /// A group has loaded and starts to serve.
    GroupReady(GroupNumber),
}

/// State of a simulation. Times are in seconds since its start.
struct DaySimulation<'a> {
    spec: &'a DaySpec,
    domain: FailureDomain,
    fleet: FleetConfig,
    /// All hosts, including failed ones.
    hosts: HostList,
    assignment: Assignment,
    /// Hosts that have failed and not returned yet.
    failed_hosts: BTreeSet<HostId>,
    /// Groups whose loss was detected and that aren't dissolved yet.
    lost_groups: BTreeMap<GroupNumber, Option<HostId>>,
    held: HeldWeights,
    /// Pending events with their times, in no order.
    pending_events: Vec<(f64, Event)>,
    /// When the weight store has finished all loads started so far.
    weight_store_free_at: f64,
    now: f64,
    result: DayResult,
    rng: SmallRng,
}

/// Simulates a day with this seed. All groups serve at its start.
pub fn run(spec: &DaySpec, seed: u64) -> DayResult {
    let mut simulation = DaySimulation::new(spec, seed);
    simulation.form_all_groups();
    simulation.schedule_failures();
    while let Some((at, event)) = simulation.next_event() {
        simulation.advance_to(at.min(DAY_SECONDS));
        if at >= DAY_SECONDS {
            break;
        }
        simulation.handle_event(event);
        simulation.replan();
    }
    simulation.advance_to(DAY_SECONDS);
    simulation.result
}

/// Returns the name, the configuration and the hosts of the failure domain of a simulation.
pub fn domain_objects(spec: &DaySpec) -> (FailureDomain, FleetConfig, HostList) {
    let domain = FailureDomain::new("domain");
    let mut hosts = HostList::default();
    let mut number: u16 = 0;
    for (fabric, count) in spec.fabric_domain_sizes.iter().enumerate() {
        for _ in 0..*count {
            let record = HostRecord {
                address: ([10, 0, 0, 1], number).into(),
                failure_domain: domain.clone(),
                fabric_domain: FabricDomain::new(&format!("fabric-{fabric:03}")),
                accelerators: ACCELERATORS_PER_HOST,
                state: HostState::Live,
                service: None,
                slots: None,
                staged: Vec::new(),
                status: None,
                started: None,
                warm_up_ms: 0,
            };
            hosts
                .hosts
                .insert(HostId::new(&format!("host-{number:05}")), record);
            number += 1;
        }
    }
    let mut fleet = FleetConfig {
        weights: spec.weights,
        ..FleetConfig::default()
    };
    let owner = Customer::new("all");
    let customer = CustomerConfig {
        key_sha256: Vec::new(),
        share: 1,
        rank: None,
    };
    fleet.customers.insert(owner.clone(), customer);
    for model in &spec.models {
        let intent = ModelIntent {
            owner: owner.clone(),
            version: ModelVersion::new("v1"),
            hosts_per_replica: model.hosts_per_replica,
            replicas: BTreeMap::from([(domain.clone(), model.replicas)]),
        };
        fleet.models.insert(ModelName::new(model.name), intent);
    }
    (domain, fleet, hosts)
}

impl<'a> DaySimulation<'a> {
    fn new(spec: &'a DaySpec, seed: u64) -> Self {
        let (domain, fleet, hosts) = domain_objects(spec);
        Self {
            spec,
            domain,
            fleet,
            hosts,
            assignment: Assignment::default(),
            failed_hosts: BTreeSet::new(),
            lost_groups: BTreeMap::new(),
            held: HeldWeights::new(),
            pending_events: Vec::new(),
            weight_store_free_at: 0.0,
            now: 0.0,
            result: DayResult::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Forms all groups before the start of the day, at no cost.
    fn form_all_groups(&mut self) {
        self.replan();
        self.pending_events.clear();
        for group in self.assignment.groups.values_mut() {
            group.phase = GroupPhase::Serving;
        }
        self.weight_store_free_at = 0.0;
        self.result = DayResult::default();
    }

    /// Schedules the failures and returns of all hosts.
    fn schedule_failures(&mut self) {
        let names: Vec<HostId> = self.hosts.hosts.keys().cloned().collect();
        for host in names {
            let mut at = 0.0;
            loop {
                at += -(1.0 - self.rng.random::<f64>()).ln() * DAY_SECONDS
                    / self.spec.failures_per_host_day;
                if at >= DAY_SECONDS {
                    break;
                }
                self.pending_events
                    .push((at, Event::HostFailed(host.clone())));
                at += self.rng.random_range(REPAIR_HOURS.0..REPAIR_HOURS.1) * 3_600.0;
                self.pending_events
                    .push((at, Event::HostReturned(host.clone())));
            }
        }
    }

    /// Removes and returns the earliest event.
    fn next_event(&mut self) -> Option<(f64, Event)> {
        let (index, _) = self
            .pending_events
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(self.pending_events.swap_remove(index))
    }

    /// Advances the time to `at` and adds the costs of the time in between to the result.
    fn advance_to(&mut self, at: f64) {
        let hours = (at - self.now).max(0.0) / 3_600.0;
        self.now = at;
        if hours == 0.0 {
            return;
        }
        self.result.downtime_hours += hours * f64::from(self.missing_replicas());
        self.result.unavoidable_downtime_hours += hours * f64::from(self.min_missing_replicas());
        let stranded = stranded_accelerators(
            &self.live_hosts(),
            &self.fleet,
            &self.domain,
            &self.assignment,
        );
        self.result.stranded_accelerator_hours += hours * f64::from(stranded);
    }

    /// Returns the host list without the failed hosts.
    fn live_hosts(&self) -> HostList {
        let mut live = self.hosts.clone();
        live.hosts
            .retain(|host, _| !self.failed_hosts.contains(host));
        live
    }

    fn configured_replicas(&self) -> u32 {
        self.spec.models.iter().map(|model| model.replicas).sum()
    }

    /// Number of configured replicas that don't serve.
    fn missing_replicas(&self) -> u32 {
        let serving = self
            .assignment
            .groups
            .iter()
            .filter(|(number, group)| {
                let is_complete = group
                    .members
                    .iter()
                    .all(|m| !self.failed_hosts.contains(&m.host));
                group.phase == GroupPhase::Serving
                    && is_complete
                    && !self.lost_groups.contains_key(number)
            })
            .count() as u32;
        self.configured_replicas().saturating_sub(serving)
    }

    /// Lower bound on the number of missing replicas under any choice of hosts. It is exact if
    /// all replicas have the same number of hosts; otherwise every replica counts as one of the
    /// smallest size.
    fn min_missing_replicas(&self) -> u32 {
        let mut live_hosts: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
        for (id, host) in &self.hosts.hosts {
            if !self.failed_hosts.contains(id) {
                *live_hosts.entry(&host.fabric_domain).or_default() += 1;
            }
        }
        let smallest = self
            .spec
            .models
            .iter()
            .map(|m| m.hosts_per_replica as usize)
            .min();
        let max_replicas: usize = live_hosts
            .values()
            .map(|count| count / smallest.unwrap_or(1))
            .sum();
        self.configured_replicas()
            .saturating_sub(max_replicas as u32)
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::HostFailed(host) => {
                let group = self
                    .assignment
                    .groups
                    .iter()
                    .find(|(_, group)| group.contains(&host))
                    .map(|(number, _)| *number);
                self.held.remove(&host);
                self.failed_hosts.insert(host);
                if let Some(group) = group {
                    let at = self.now + LOSS_DETECTION_SECONDS;
                    self.pending_events.push((at, Event::LossDetected(group)));
                }
            }
            Event::HostReturned(host) => {
                self.assignment.releasing.remove(&host);
                self.failed_hosts.remove(&host);
            }
            Event::LossDetected(group) => {
                self.lost_groups.insert(group, None);
            }
            Event::GroupReady(number) => {
                if let Some(group) = self.assignment.groups.get_mut(&number) {
                    group.phase = GroupPhase::Serving;
                }
            }
        }
    }

    /// Plans and executes steps until the planner returns none.
    fn replan(&mut self) {
        loop {
            let context = PlacementContext {
                domain: &self.domain,
                fleet: &self.fleet,
                hosts: &self.hosts,
                assignment: &self.assignment,
                unreachable: &self.failed_hosts,
                lost: &self.lost_groups,
                held: &self.held,
                choice: self.spec.host_choice,
                max_forming: 1_000,
                max_loads: usize::MAX,
                keep_surplus: false,
                replica_demand: &UNKNOWN_DEMAND,
            };
            let steps = next_steps(&context);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                self.execute_step(&step);
            }
        }
    }

    /// Applies a step to the assignment and schedules its consequences.
    fn execute_step(&mut self, step: &PlacementStep) {
        let number = self.assignment.next_group;
        apply_step(&mut self.assignment, step);
        match step {
            PlacementStep::Form {
                model,
                version,
                members,
                loads,
                ..
            } => {
                self.result.host_loads += loads;
                let load_start = self.weight_store_free_at.max(self.now);
                self.weight_store_free_at = load_start + f64::from(*loads) * LOAD_SECONDS_PER_HOST;
                let ready_at = self.weight_store_free_at + STARTUP_SECONDS;
                self.pending_events
                    .push((ready_at, Event::GroupReady(number)));
                for member in members {
                    let weights = (model.clone(), version.clone());
                    self.held.insert(member.host.clone(), vec![weights]);
                }
            }
            PlacementStep::Dissolve { group, .. } => {
                self.lost_groups.remove(group);
                let failed_hosts = &self.failed_hosts;
                self.assignment
                    .releasing
                    .retain(|host, _| failed_hosts.contains(host));
            }
            PlacementStep::Retire { group, .. } => {
                self.assignment.groups.remove(group);
            }
        }
    }
}
