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
use shalehinge::core::placement::need::NO_NEEDS;
use shalehinge::core::placement::planner::HeldWeights;
use shalehinge::core::placement::preview::apply_step;
use shalehinge::core::placement::stranded::stranded_accelerators;
use shalehinge::core::placement::{PlacementContext, PlacementStep, next_steps};
use shalehinge::core::types::{
    Customer, FabricDomain, FailureDomain, GroupNumber, HostId, ModelName, ModelVersion,
};

/// Time from the loss of a host until its group is dissolved and released, in seconds.
const NOTICE_SECONDS: f64 = 2.0;
/// Time that the weight store takes to load one host, in seconds.
const STORE_SECONDS_PER_HOST: f64 = 4.0;
/// Time from the last load of a group until its replica serves, in seconds.
const START_SECONDS: f64 = 30.0;
/// Duration of the simulation, in seconds.
const DAY: f64 = 86_400.0;
/// Time until a failed host returns in hours, as a half-open range.
const REPAIR_HOURS: (f64, f64) = (2.0, 12.0);
/// Number of accelerators per host.
const ACCELERATORS: u32 = 8;

/// A model to place.
#[derive(Clone, Copy, Debug)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: &'static str,
    /// Number of hosts per replica.
    pub hosts: u32,
    /// Number of replicas to run.
    pub replicas: u32,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct DaySpec {
    /// Number of hosts in each fabric domain.
    pub fabrics: Vec<usize>,
    /// Models to place.
    pub models: Vec<ModelSpec>,
    /// Placement weights of the fleet.
    pub weights: PlacementWeights,
    /// Policy by which the planner chooses hosts.
    pub choice: HostChoice,
    /// Mean number of failures per host and day.
    pub failures: f64,
}

/// Results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct DayResult {
    /// Time during which configured replicas didn't serve, in replica hours.
    pub downtime_hours: f64,
    /// Time during which accelerators were idle and no group could form on them, in accelerator
    /// hours.
    pub stranded_hours: f64,
    /// Lower bound on the downtime under any placement, given the live hosts of the fabric
    /// domains, in replica hours.
    pub bound_hours: f64,
    /// Number of host loads from the weight store.
    pub loads: u32,
}

/// Event of the simulation.
#[derive(Clone, Debug, PartialEq)]
enum Happening {
    /// A host fails.
    Fails(HostId),
    /// A failed host returns.
    Returns(HostId),
    /// The loss of a member of a group is detected.
    Noticed(GroupNumber),
    /// A group has loaded and starts to serve.
    Ready(GroupNumber),
}

/// State of a simulation. Times are in seconds since its start.
struct Day<'a> {
    spec: &'a DaySpec,
    domain: FailureDomain,
    fleet: FleetConfig,
    /// All hosts, including failed ones.
    hosts: HostList,
    assignment: Assignment,
    /// Hosts that have failed and not returned yet.
    down: BTreeSet<HostId>,
    /// Groups whose loss was detected and that aren't dissolved yet.
    lost: BTreeMap<GroupNumber, Option<HostId>>,
    held: HeldWeights,
    /// Pending events with their times, in no order.
    agenda: Vec<(f64, Happening)>,
    /// When the weight store has finished all loads started so far.
    store_free_at: f64,
    now: f64,
    result: DayResult,
    rng: SmallRng,
}

/// Simulates a day with this seed. All groups serve at its start.
pub fn run(spec: &DaySpec, seed: u64) -> DayResult {
    let mut day = Day::new(spec, seed);
    day.form_everything();
    day.plan_failures();
    while let Some((at, happening)) = day.next() {
        day.pass(at.min(DAY));
        if at >= DAY {
            break;
        }
        day.happen(happening);
        day.replan();
    }
    day.pass(DAY);
    day.result
}

/// Returns the name, the configuration and the hosts of the failure domain of a simulation.
pub fn domain_objects(spec: &DaySpec) -> (FailureDomain, FleetConfig, HostList) {
    let domain = FailureDomain::new("domain");
    let mut hosts = HostList::default();
    let mut number: u16 = 0;
    for (fabric, count) in spec.fabrics.iter().enumerate() {
        for _ in 0..*count {
            let record = HostRecord {
                address: ([10, 0, 0, 1], number).into(),
                failure_domain: domain.clone(),
                fabric_domain: FabricDomain::new(&format!("fabric-{fabric:03}")),
                accelerators: ACCELERATORS,
                state: HostState::Live,
                service: None,
                slots: None,
                staged: Vec::new(),
                status: None,
                started: None,
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
            hosts_per_replica: model.hosts,
            replicas: BTreeMap::from([(domain.clone(), model.replicas)]),
        };
        fleet.models.insert(ModelName::new(model.name), intent);
    }
    (domain, fleet, hosts)
}

impl<'a> Day<'a> {
    fn new(spec: &'a DaySpec, seed: u64) -> Self {
        let (domain, fleet, hosts) = domain_objects(spec);
        Self {
            spec,
            domain,
            fleet,
            hosts,
            assignment: Assignment::default(),
            down: BTreeSet::new(),
            lost: BTreeMap::new(),
            held: HeldWeights::new(),
            agenda: Vec::new(),
            store_free_at: 0.0,
            now: 0.0,
            result: DayResult::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Forms all groups before the start of the day, at no cost.
    fn form_everything(&mut self) {
        self.replan();
        self.agenda.clear();
        for group in self.assignment.groups.values_mut() {
            group.phase = GroupPhase::Serving;
        }
        self.store_free_at = 0.0;
        self.result = DayResult::default();
    }

    /// Schedules the failures and returns of all hosts.
    fn plan_failures(&mut self) {
        let names: Vec<HostId> = self.hosts.hosts.keys().cloned().collect();
        for host in names {
            let mut at = 0.0;
            loop {
                at += -(1.0 - self.rng.random::<f64>()).ln() * DAY / self.spec.failures;
                if at >= DAY {
                    break;
                }
                self.agenda.push((at, Happening::Fails(host.clone())));
                at += self.rng.random_range(REPAIR_HOURS.0..REPAIR_HOURS.1) * 3_600.0;
                self.agenda.push((at, Happening::Returns(host.clone())));
            }
        }
    }

    /// Removes and returns the earliest event.
    fn next(&mut self) -> Option<(f64, Happening)> {
        let (index, _) = self
            .agenda
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(self.agenda.swap_remove(index))
    }

    /// Advances the time to `at` and adds the costs of the time in between to the result.
    fn pass(&mut self, at: f64) {
        let hours = (at - self.now).max(0.0) / 3_600.0;
        self.now = at;
        if hours == 0.0 {
            return;
        }
        self.result.downtime_hours += hours * f64::from(self.missing());
        self.result.bound_hours += hours * f64::from(self.bound());
        let stranded = stranded_accelerators(
            &self.live_hosts(),
            &self.fleet,
            &self.domain,
            &self.assignment,
        );
        self.result.stranded_hours += hours * f64::from(stranded);
    }

    /// Returns the host list without the failed hosts.
    fn live_hosts(&self) -> HostList {
        let mut live = self.hosts.clone();
        live.hosts.retain(|host, _| !self.down.contains(host));
        live
    }

    fn wanted(&self) -> u32 {
        self.spec.models.iter().map(|model| model.replicas).sum()
    }

    /// Number of configured replicas that don't serve.
    fn missing(&self) -> u32 {
        let serving = self
            .assignment
            .groups
            .iter()
            .filter(|(number, group)| {
                let is_whole = group.members.iter().all(|m| !self.down.contains(&m.host));
                group.phase == GroupPhase::Serving && is_whole && !self.lost.contains_key(number)
            })
            .count() as u32;
        self.wanted().saturating_sub(serving)
    }

    /// Lower bound on the number of missing replicas under any choice of hosts. It is exact if
    /// all replicas have the same number of hosts; otherwise every replica counts as one of the
    /// smallest size.
    fn bound(&self) -> u32 {
        let mut live: BTreeMap<&FabricDomain, usize> = BTreeMap::new();
        for (id, host) in &self.hosts.hosts {
            if !self.down.contains(id) {
                *live.entry(&host.fabric_domain).or_default() += 1;
            }
        }
        let smallest = self.spec.models.iter().map(|m| m.hosts as usize).min();
        let most: usize = live
            .values()
            .map(|count| count / smallest.unwrap_or(1))
            .sum();
        self.wanted().saturating_sub(most as u32)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Fails(host) => {
                let group = self
                    .assignment
                    .groups
                    .iter()
                    .find(|(_, group)| group.contains(&host))
                    .map(|(number, _)| *number);
                self.held.remove(&host);
                self.down.insert(host);
                if let Some(group) = group {
                    let at = self.now + NOTICE_SECONDS;
                    self.agenda.push((at, Happening::Noticed(group)));
                }
            }
            Happening::Returns(host) => {
                self.assignment.releasing.remove(&host);
                self.down.remove(&host);
            }
            Happening::Noticed(group) => {
                self.lost.insert(group, None);
            }
            Happening::Ready(number) => {
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
                unreachable: &self.down,
                lost: &self.lost,
                held: &self.held,
                choice: self.spec.choice,
                max_forming: 1_000,
                max_loads: usize::MAX,
                keeps_surplus: false,
                needs: &NO_NEEDS,
            };
            let steps = next_steps(&context);
            if steps.is_empty() {
                return;
            }
            for step in steps {
                self.carry_out(&step);
            }
        }
    }

    /// Applies a step to the assignment and schedules its consequences.
    fn carry_out(&mut self, step: &PlacementStep) {
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
                self.result.loads += loads;
                let begin = self.store_free_at.max(self.now);
                self.store_free_at = begin + f64::from(*loads) * STORE_SECONDS_PER_HOST;
                let ready = self.store_free_at + START_SECONDS;
                self.agenda.push((ready, Happening::Ready(number)));
                for member in members {
                    let weights = (model.clone(), version.clone());
                    self.held.insert(member.host.clone(), vec![weights]);
                }
            }
            PlacementStep::Dissolve { group, .. } => {
                self.lost.remove(group);
                let down = &self.down;
                self.assignment
                    .releasing
                    .retain(|host, _| down.contains(host));
            }
            PlacementStep::Retire { group, .. } => {
                self.assignment.groups.remove(group);
            }
        }
    }
}
