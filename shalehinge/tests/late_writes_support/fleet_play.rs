//! A seeded run of a fleet of two failure domains with backups, restores, late writes, paused lease
//! holders and daemons that learn the era late.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shalehinge::core::daemon::TICK;
use shalehinge::core::objects::HostState;
use shalehinge::core::types::{Epoch, FailureDomain, StoreEra, Timestamp};

use crate::relay_support::Fleet;
use crate::relay_support::held_writes::{HeldWriteCounts, HeldWrites};

/// Number of failure domains.
const DOMAINS: u16 = 2;
/// Time in which the fleet starts.
const START: Duration = Duration::from_secs(12);
/// Time at the end of a run without disturbances.
const END: Duration = Duration::from_secs(15);
/// Share of writes that are held around a restore.
const HELD_SHARE: f64 = 0.6;
/// Share of writes that are held otherwise.
const CALM_SHARE: f64 = 0.05;
/// Share of held writes whose number the next write of their object in the new era gets.
const MEETING_SHARE: f64 = 0.8;
/// Durations for which the store is away.
const OUTAGES_MS: [u64; 4] = [200, 1_500, 4_000, 7_000];

/// What a run is disturbed by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbances {
    /// The store carries out some writes late.
    pub late_writes: bool,
    /// The store is restored from backups.
    pub restores: bool,
    /// Lease holders are paused, and single daemons learn the era late.
    pub daemons: bool,
}

impl Disturbances {
    /// All of them.
    pub const LATE_WRITES_AND_RESTORES: Self = Self {
        late_writes: true,
        restores: true,
        daemons: true,
    };
    /// No restores.
    pub const LATE_WRITES: Self = Self {
        restores: false,
        ..Self::LATE_WRITES_AND_RESTORES
    };
    /// No late writes.
    pub const RESTORES: Self = Self {
        late_writes: false,
        ..Self::LATE_WRITES_AND_RESTORES
    };
    /// Restores alone.
    pub const PLAIN_RESTORES: Self = Self {
        daemons: false,
        ..Self::RESTORES
    };
    /// Restores and late writes alone.
    pub const LATE_WRITES_AND_PLAIN_RESTORES: Self = Self {
        daemons: false,
        ..Self::LATE_WRITES_AND_RESTORES
    };
}

/// An invariant that a run can break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Two daemons held one fencing token.
    TokenOfTwo,
    /// Two daemons held the lease of one failure domain at a time.
    Overlap,
    /// A lease was replaced by one of an earlier epoch in one era.
    LeaseReplaced,
}

impl Kind {
    /// All invariants.
    pub const ALL: [Self; 3] = [Self::TokenOfTwo, Self::Overlap, Self::LeaseReplaced];
}

/// A broken invariant.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant.
    pub kind: Kind,
    /// What was seen.
    pub text: String,
}

/// What a run has shown.
pub struct FleetPlay {
    /// Number of daemons.
    pub daemons: u16,
    /// The seed.
    pub seed: u64,
    /// Number of restores.
    pub restores: usize,
    /// What happened to late writes.
    pub counts: HeldWriteCounts,
    /// Broken invariants, in the order in which they were seen.
    pub violations: Vec<Violation>,
    /// Time from each restore until a failure domain had a holder that knows the era, per domain.
    pub waits: Vec<Duration>,
    /// Time without a holder after restores, of each failure domain in all.
    pub without_control: Vec<Duration>,
    /// Events of the store and of daemons, in the order of time.
    pub trace: Vec<String>,
}

impl FleetPlay {
    /// The first violation of a kind, with the run that it was seen in.
    pub fn first(&self, kind: Kind) -> Option<String> {
        let of_kind = |violation: &&Violation| violation.kind == kind;
        let first = self.violations.iter().find(of_kind)?;
        Some(format!(
            "{} daemons, seed {}: {}",
            self.daemons, self.seed, first.text
        ))
    }
}

/// The lease of a failure domain that was last stored.
#[derive(Clone, Copy)]
struct StoredEpoch {
    era: StoreEra,
    epoch: Epoch,
}

/// A run in progress.
pub struct Play {
    fleet: Fleet,
    disturbances: Disturbances,
    rng: SmallRng,
    domains: Vec<FailureDomain>,
    tokens: BTreeMap<(FailureDomain, Epoch), usize>,
    stored: BTreeMap<FailureDomain, StoredEpoch>,
    restored_at: Option<Duration>,
    waiting: BTreeMap<FailureDomain, Duration>,
    without_control: BTreeMap<FailureDomain, Duration>,
    result: FleetPlay,
}

impl Play {
    /// A fleet that has not started.
    pub fn new(daemons: u16, seed: u64, disturbances: Disturbances) -> Self {
        let mut fleet = Fleet::start_in_domains(daemons, DOMAINS, true);
        fleet.platform.late_writes = Some(HeldWrites::new(seed));
        Self {
            fleet,
            disturbances,
            rng: SmallRng::seed_from_u64(seed),
            domains: (0..DOMAINS)
                .map(|number| FailureDomain::new(&format!("d{number}")))
                .collect(),
            tokens: BTreeMap::new(),
            stored: BTreeMap::new(),
            restored_at: None,
            waiting: BTreeMap::new(),
            without_control: BTreeMap::new(),
            result: FleetPlay {
                daemons,
                seed,
                restores: 0,
                counts: HeldWriteCounts::default(),
                violations: Vec::new(),
                waits: Vec::new(),
                without_control: Vec::new(),
                trace: Vec::new(),
            },
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> FleetPlay {
        self.step_for(START);
        let rounds = self.rng.random_range(1..=2);
        for _ in 0..rounds {
            self.round();
        }
        self.set_share(0.0, 0.0);
        self.step_for(END);
        self.finish()
    }

    fn set_share(&mut self, share: f64, meeting_share: f64) {
        if !self.disturbances.late_writes {
            return;
        }
        let late_writes = self.fleet.platform.late_writes.as_mut().expect("simulated");
        late_writes.share = share;
        late_writes.meeting_share = meeting_share;
    }

    fn milliseconds(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    /// A backup, writes that it lacks, an outage with a restore, and the time after it.
    fn round(&mut self) {
        let before = self.milliseconds(500..6_000);
        let held_before = self.milliseconds(500..3_000);
        let changes = self.rng.random_range(0..40);
        let outage = OUTAGES_MS[self.rng.random_range(0..OUTAGES_MS.len())];
        let after = self.milliseconds(1_000..12_000);
        let paused = self.draw_holder();
        let is_paused = self.rng.random_bool(0.4);
        let is_cut_off = self.rng.random_bool(0.4);
        let cut_off = self.rng.random_range(0..self.fleet.daemons.len());
        let trouble_lasts = self.milliseconds(500..9_000);

        self.fleet.platform.take_backup();
        for port in 0..changes {
            self.fleet.platform.change(port % 20, HostState::Live);
        }
        self.step_for(before);
        self.set_share(HELD_SHARE, MEETING_SHARE);
        self.step_for(held_before);
        if self.disturbances.daemons && is_paused {
            self.note(&format!("daemon-{paused} is paused"));
            self.fleet.pause(paused);
        }
        if self.disturbances.restores {
            self.restore(Duration::from_millis(outage));
        }
        if self.disturbances.daemons && is_cut_off {
            self.note(&format!("daemon-{cut_off} is cut off"));
            self.fleet.refused.insert(cut_off);
            self.fleet.partitioned.insert(cut_off);
        }
        self.set_share(CALM_SHARE, MEETING_SHARE);
        self.step_for(trouble_lasts);
        self.note("no daemon is paused or cut off");
        self.fleet.refused.clear();
        self.fleet.partitioned.clear();
        self.fleet.resume(paused);
        self.step_for(after);
    }

    /// A lease holder of a random failure domain; the first daemon if there is none.
    fn draw_holder(&mut self) -> usize {
        let domain = self.rng.random_range(0..self.domains.len());
        self.holders(&self.domains[domain].clone())
            .first()
            .map_or(0, |holder| holder.0)
    }

    fn restore(&mut self, outage: Duration) {
        self.note("the store is away");
        self.fleet.take_platform_away();
        self.step_for(outage);
        self.fleet.bring_platform_back();
        let era = self.fleet.platform.era();
        self.note(&format!("the store is back in era {era}"));
        self.result.restores += 1;
        self.restored_at = Some(self.fleet.now);
        for domain in &self.domains {
            self.waiting.insert(domain.clone(), self.fleet.now);
        }
    }

    fn note(&mut self, text: &str) {
        let late_writes = self.fleet.platform.late_writes.as_mut().expect("simulated");
        late_writes.note(text);
    }

    fn step_for(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(TICK);
            for domain in self.domains.clone() {
                self.check(&domain);
            }
        }
    }

    /// The daemons that may act for a failure domain now, and their fencing tokens.
    fn holders(&self, domain: &FailureDomain) -> Vec<Holder> {
        let now = Timestamp::from_duration(self.fleet.now);
        let daemons = self.fleet.daemons.iter().enumerate();
        let of_domain = daemons.filter(|(_, daemon)| daemon.identity().failure_domain == *domain);
        of_domain
            .filter_map(|(index, daemon)| Some(Holder(index, daemon.lease().held(now)?)))
            .collect()
    }

    fn check(&mut self, domain: &FailureDomain) {
        let holders = self.holders(domain);
        self.check_holders(domain, &holders);
        self.check_stored_lease(domain);
        self.count_control(domain, &holders);
    }

    fn check_holders(&mut self, domain: &FailureDomain, holders: &[Holder]) {
        if holders.len() > 1 {
            self.violate(Kind::Overlap, format!("{domain} is held by {holders:?}"));
        }
        for holder in holders {
            let token = (domain.clone(), holder.1);
            let first = *self.tokens.entry(token).or_insert(holder.0);
            if first != holder.0 {
                let text = format!("{domain}: {holder:?} after daemon-{first} under one token");
                self.violate(Kind::TokenOfTwo, text);
            }
        }
    }

    fn check_stored_lease(&mut self, domain: &FailureDomain) {
        let Some(lease) = self.fleet.platform.lease(domain) else {
            return;
        };
        let era = self.fleet.platform.era();
        let epoch = lease.value.epoch;
        let now = StoredEpoch { era, epoch };
        let before = self.stored.insert(domain.clone(), now);
        let Some(before) = before.filter(|before| before.era == era) else {
            return;
        };
        if epoch < before.epoch {
            let text = format!(
                "{domain}: the lease of epoch {} was replaced by one of epoch {}",
                before.epoch.0, epoch.0
            );
            self.violate(Kind::LeaseReplaced, text);
        }
    }

    fn count_control(&mut self, domain: &FailureDomain, holders: &[Holder]) {
        if self.restored_at.is_none() || self.fleet.platform.is_away {
            return;
        }
        let era = Some(self.fleet.platform.era());
        let knows = |holder: &Holder| self.fleet.daemons[holder.0].store_era() == era;
        if holders.iter().any(knows) {
            if let Some(since) = self.waiting.remove(domain) {
                self.result.waits.push(self.fleet.now - since);
            }
            return;
        }
        *self.without_control.entry(domain.clone()).or_default() += TICK;
    }

    /// Records a violation once; it may last for many steps.
    fn violate(&mut self, kind: Kind, text: String) {
        let at = self.fleet.now.as_secs_f64();
        let is_known = self.result.violations.iter().any(|known| {
            let known_text = known.text.split_once(' ').map(|(_, text)| text);
            known.kind == kind && known_text == Some(text.as_str())
        });
        if is_known {
            return;
        }
        self.note(&format!("VIOLATION {kind:?}: {text}"));
        let text = format!("{at:.3} {text}");
        self.result.violations.push(Violation { kind, text });
    }

    fn finish(mut self) -> FleetPlay {
        let late_writes = self.fleet.platform.late_writes.take().expect("simulated");
        self.result.counts = late_writes.counts;
        self.result.trace = late_writes.trace;
        self.result.trace.append(&mut self.fleet.lines);
        self.result
            .trace
            .sort_by(|one, other| time_of(one).total_cmp(&time_of(other)));
        self.result.without_control = self.without_control.into_values().collect();
        self.result
    }
}

/// Index and fencing token of a lease holder.
#[derive(Clone, Copy, Debug)]
struct Holder(usize, Epoch);

/// Time at the head of a line of the trace, in seconds.
fn time_of(line: &str) -> f64 {
    let time = line.split_whitespace().next();
    time.and_then(|time| time.parse().ok()).unwrap_or(0.0)
}
