//! What callers get during an overload, with and without an order among requests, at fleets of
//! several sizes in simulated time.

mod overload_simulation_support;

use std::fmt::Write;

use overload_simulation_support::{
    CUSTOMERS, CallerResult, DOMAINS, RANKS, Record, Report, Scenario, Way, simulate,
};

const OVERLOAD_MS: u64 = 12_000;
const OVERLOAD_THEN_LESS: [(f64, u64); 2] = [(1.4, OVERLOAD_MS), (0.7, 6_000)];
const NO_OVERLOAD: [(f64, u64); 1] = [(0.7, 18_000)];
/// Time after the overload by which no request is deprioritized any more.
const END_WITHIN_MS: u64 = 5_000;

const NINE: (usize, usize) = (9, 3);
const EIGHTY_THREE: (usize, usize) = (83, 9);
const THREE_HUNDRED_FORTY: (usize, usize) = (340, 36);

fn scenario((daemons, groups): (usize, usize), phases: &'static [(f64, u64)]) -> Scenario {
    Scenario {
        daemons,
        groups,
        seed: 11,
        phases,
    }
}

/// Numbers of requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    on_time: usize,
    late: usize,
    refused: usize,
    failed: usize,
}

impl Counts {
    fn of<'a>(records: impl Iterator<Item = &'a Record>) -> Self {
        let mut counts = Self::default();
        for record in records {
            match record.result() {
                CallerResult::OnTime => counts.on_time += 1,
                CallerResult::Late => counts.late += 1,
                CallerResult::Refused => counts.refused += 1,
                CallerResult::Failed => counts.failed += 1,
            }
        }
        counts
    }

    fn served(&self) -> usize {
        self.on_time + self.late
    }

    fn all(&self) -> usize {
        self.served() + self.refused + self.failed
    }

    fn on_time_rate(&self) -> f64 {
        self.on_time as f64 / self.all().max(1) as f64
    }

    fn served_rate(&self) -> f64 {
        self.served() as f64 / self.all().max(1) as f64
    }
}

fn of_overload(report: &Report) -> impl Iterator<Item = &Record> {
    let records = report.records.iter();
    records.filter(|record| record.arrived_at < OVERLOAD_MS)
}

/// The requests that arrived during the overload, by kind.
fn by_kind(report: &Report) -> Vec<(String, Counts)> {
    let customers = (0..CUSTOMERS).map(|number| {
        let records = of_overload(report).filter(|record| record.customer == number);
        (format!("customer {number}"), Counts::of(records))
    });
    let ranks = (0..RANKS).map(|number| {
        let records = of_overload(report).filter(|record| record.rank == number);
        (format!("rank {number}"), Counts::of(records))
    });
    let domains = (0..DOMAINS).map(|number| {
        let records = of_overload(report).filter(|record| record.domain == number);
        (format!("domain {number}"), Counts::of(records))
    });
    customers.chain(ranks).chain(domains).collect()
}

fn line(name: &str, counts: &Counts) -> String {
    format!(
        "  {name:<12} on time {:>6}, late {:>6}, refused {:>6}, failed {:>6}\n",
        counts.on_time, counts.late, counts.refused, counts.failed
    )
}

/// Prints what callers got.
fn print(scenario: &Scenario, way: Way, report: &Report) {
    let capacity = scenario.capacity() * OVERLOAD_MS as f64 / 1_000.0;
    let overload = Counts::of(of_overload(report));
    let mut text = format!(
        "{} daemons, {way:?}: capacity in the overload {capacity}, of it on time {:.2}\n",
        scenario.daemons,
        overload.on_time as f64 / capacity
    );
    let learned = of_overload(report).filter(|record| record.arrived_at >= OVERLOAD_MS / 3);
    let afterwards = report.records.iter();
    let afterwards = afterwards.filter(|record| record.arrived_at >= OVERLOAD_MS);
    text.push_str(&line("overload", &overload));
    text.push_str(&line("its last 8 s", &Counts::of(learned)));
    text.push_str(&line("afterwards", &Counts::of(afterwards)));
    for (kind, counts) in by_kind(report) {
        text.push_str(&line(&kind, &counts));
    }
    if way == Way::On {
        text.push_str("  daemons that assume an overload, each second:");
        for sample in report.states.iter().step_by(2) {
            let _ = write!(text, " {:.2}", sample.overloaded);
        }
    }
    println!("{text}");
}

/// Compares the ways during an overload, and returns the bounds that are not met.
fn unmet_bounds(size: (usize, usize)) -> Vec<String> {
    let scenario = scenario(size, &OVERLOAD_THEN_LESS);
    let run = |way| {
        let report = simulate(&scenario, way);
        print(&scenario, way, &report);
        report
    };
    let off = run(Way::Off);
    run(Way::FixedFraction);
    let on = run(Way::On);

    let mut unmet = Vec::new();
    let mut check = |is_met: bool, text: String| {
        if !is_met {
            unmet.push(text);
        }
    };
    let overload = Counts::of(of_overload(&on));
    let capacity = scenario.capacity() * OVERLOAD_MS as f64 / 1_000.0;
    let on_time = overload.on_time as f64 / capacity;
    check(on_time >= 0.9, format!("on time: {on_time:.2} of capacity"));

    let served = Counts::of(on.records.iter()).served();
    let served_off = Counts::of(off.records.iter()).served();
    check(
        served >= served_off,
        format!("served: {served}, without the setting {served_off}"),
    );

    let rates: Vec<f64> = (0..RANKS)
        .map(|rank| of_overload(&on).filter(move |record| record.rank == rank))
        .map(|records| Counts::of(records).on_time_rate())
        .collect();
    check(
        rates.windows(2).all(|pair| pair[0] >= pair[1]),
        format!("on time by rank: {rates:.2?}"),
    );

    for (kind, counts) in by_kind(&on) {
        let rate = counts.served_rate();
        check(
            rate >= overload.served_rate() / 4.0,
            format!("{kind}: {rate:.2} served of all"),
        );
    }

    let ended_at = OVERLOAD_MS + END_WITHIN_MS;
    let after = on.states.iter().find(|sample| sample.at >= ended_at);
    let overloaded = after.map_or(1.0, |sample| sample.overloaded);
    check(
        overloaded == 0.0,
        format!("{overloaded:.2} of the daemons {END_WITHIN_MS} ms after the overload"),
    );
    unmet
}

/// Returns what the setting changes without an overload.
fn changes_without_overload(size: (usize, usize)) -> Vec<String> {
    let scenario = scenario(size, &NO_OVERLOAD);
    let off = simulate(&scenario, Way::Off);
    let on = simulate(&scenario, Way::On);
    let overloaded = on.states.iter().map(|sample| sample.overloaded);
    let highest = overloaded.fold(0.0, f64::max);
    let (off, on) = (
        Counts::of(off.records.iter()),
        Counts::of(on.records.iter()),
    );
    println!(
        "{} daemons without overload, assumed by {highest:.3} of them at most\n{}{}",
        scenario.daemons,
        line("Off", &off),
        line("On", &on)
    );
    let mut changes = Vec::new();
    if highest > 0.0 {
        changes.push(format!(
            "an overload is assumed by {highest:.3} of the daemons"
        ));
    }
    if on.on_time_rate() < off.on_time_rate() - 0.01 || on.served() != off.served() {
        changes.push(format!("with the setting {on:?}, without {off:?}"));
    }
    changes
}

const NONE: [String; 0] = [];

/// Guards, at a small fleet of busy daemons, against an overload in which nearly all requests are
/// late although there is capacity for most of them.
#[test]
fn an_overload_of_9_daemons_leaves_what_the_capacity_serves_on_time() {
    assert_eq!(unmet_bounds(NINE), NONE);
}

/// As above, with daemons that see few requests each.
#[test]
fn an_overload_of_83_daemons_leaves_what_the_capacity_serves_on_time() {
    assert_eq!(unmet_bounds(EIGHTY_THREE), NONE);
}

/// As above, at a large fleet.
#[test]
fn an_overload_of_340_daemons_leaves_what_the_capacity_serves_on_time() {
    assert_eq!(unmet_bounds(THREE_HUNDRED_FORTY), NONE);
}

/// Guards against requests that are deprioritized although there is capacity for all.
#[test]
fn without_an_overload_9_daemons_serve_as_without_the_setting() {
    assert_eq!(changes_without_overload(NINE), NONE);
}

/// As above, with daemons that see few requests each.
#[test]
fn without_an_overload_83_daemons_serve_as_without_the_setting() {
    assert_eq!(changes_without_overload(EIGHTY_THREE), NONE);
}

/// As above, at a large fleet.
#[test]
fn without_an_overload_340_daemons_serve_as_without_the_setting() {
    assert_eq!(changes_without_overload(THREE_HUNDRED_FORTY), NONE);
}
