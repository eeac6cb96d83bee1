//! Selects an upstream for a request.
//!
//! The score of an upstream is its load (the fraction of its capacity in use) plus a weighted
//! fraction of the prompt that is not in its cache, multiplied by its slowness relative to the
//! median upstream, plus a penalty for distance. The upstream with the lowest score wins among a
//! small random sample with at least one of the own failure domain, the upstream with the longest
//! cached prefix, and limited upstreams with a permit. Sampling keeps daemons from all selecting
//! the same upstream based on load reports of the same age.
//!
//! A request for which a limited upstream lacked a permit is sent to another one. Once the permit
//! has arrived, the next request takes its place.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::{IteratorRandom, SliceRandom};

use crate::core::types::{FailureDomain, Timestamp};
use crate::settings::router::{ChoicePolicy, RouterSettings};

use super::request::{PrefixChain, UpstreamId};
use super::upstream::{Upstream, Work};

/// Number of randomly sampled upstreams that are compared.
const SAMPLE_SIZE: usize = 5;
/// Score of a prompt that is entirely uncached, relative to a fully loaded upstream.
const PREFIX_WEIGHT: f64 = 0.4;
/// Upper bound of the slowness factor.
const MAX_SLOWNESS: f64 = 5.0;
/// Score per second of remote penalty, relative to a fully loaded upstream.
const DISTANCE_WEIGHT: f64 = 1.0;

/// A selected upstream, with the figures behind the choice for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Index into the target's list of upstreams.
    pub index: usize,
    /// Figures of the upstreams that were compared.
    pub compared: Vec<Candidate>,
}

impl Choice {
    /// A choice made without comparing scores.
    pub fn without_figures(index: usize) -> Self {
        Self {
            index,
            compared: Vec::new(),
        }
    }
}

/// Figures of one candidate upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The candidate.
    pub upstream: UpstreamId,
    /// Fraction of its capacity in use.
    pub load: f64,
    /// Number of prompt blocks that its cache probably holds.
    pub prefix_blocks: usize,
    /// The score; lower is better.
    pub score: f64,
}

/// Inputs to the selection.
pub struct ChoiceContext<'a> {
    /// The current time.
    pub now: Timestamp,
    /// Settings of the router.
    pub settings: &'a RouterSettings,
    /// Hashes of the prompt's prefixes.
    pub prefix: &'a PrefixChain,
    /// Estimated cost of the request.
    pub work: Work,
    /// Upstreams to exclude because the request was already sent to them.
    pub excluded: &'a [UpstreamId],
    /// Number of requests sent to this target so far, used for round-robin.
    pub sent_count: usize,
    /// Failure domains whose upstreams are used only if no other upstream is open.
    pub avoided: &'a BTreeSet<FailureDomain>,
    /// Whether upstreams of other failure domains are used only if no local one is open.
    pub prefers_local: bool,
}

/// Result of the selection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// The upstream to send the request to now, if any.
    pub choice: Option<Choice>,
    /// Index of the upstream that would have been selected if this daemon had a permit for it.
    pub wanted: Option<usize>,
    /// Whether the request makes up for one that was sent elsewhere for lack of a permit.
    pub makes_up: bool,
}

/// Selects an eligible upstream with room for the request.
pub fn choose(
    upstreams: &[Upstream],
    context: &ChoiceContext<'_>,
    rng: &mut impl rand::Rng,
) -> Selection {
    let mut open: Vec<usize> = (0..upstreams.len())
        .filter(|index| is_open(&upstreams[*index], context))
        .collect();
    let is_avoided = |index: &usize| {
        let spec = &upstreams[*index].spec;
        context.avoided.contains(&spec.failure_domain)
    };
    prefer(&mut open, |index| !is_avoided(index));
    if context.prefers_local {
        prefer(&mut open, |index| !upstreams[*index].spec.remote);
    }
    let may_send = |index: &usize| upstreams[*index].may_be_sent(context.now);
    let first = pick(upstreams, &open, context, rng);
    let wanted = first.as_ref().map(|choice| choice.index);
    let wanted = wanted.filter(|index| !may_send(index));
    open.retain(may_send);
    if let Some(choice) = pick_owed(upstreams, &open, first.as_ref(), context, rng) {
        return Selection {
            choice: Some(choice),
            wanted,
            makes_up: true,
        };
    }
    let choice = match wanted {
        Some(_) => pick(upstreams, &open, context, rng),
        None => first,
    };
    Selection {
        choice,
        wanted,
        makes_up: false,
    }
}

/// Selects an upstream whose permit arrived after the request that it was for had been sent
/// elsewhere, unless such an upstream is the first choice anyway.
fn pick_owed(
    upstreams: &[Upstream],
    open: &[usize],
    first: Option<&Choice>,
    context: &ChoiceContext<'_>,
    rng: &mut impl rand::Rng,
) -> Option<Choice> {
    let is_owed = |index: &usize| upstreams[*index].owes_request(context.now);
    if first.is_some_and(|choice| is_owed(&choice.index)) {
        return None;
    }
    let owed: Vec<usize> = open.iter().copied().filter(is_owed).collect();
    pick(upstreams, &owed, context, rng)
}

/// Keeps only the preferred upstreams, if there are any.
fn prefer(open: &mut Vec<usize>, is_preferred: impl Fn(&usize) -> bool) {
    if open.iter().any(&is_preferred) {
        open.retain(is_preferred);
    }
}

fn pick(
    upstreams: &[Upstream],
    open: &[usize],
    context: &ChoiceContext<'_>,
    rng: &mut impl rand::Rng,
) -> Option<Choice> {
    if open.is_empty() {
        return None;
    }
    match context.settings.policy {
        ChoicePolicy::RoundRobin => {
            let index = open[context.sent_count % open.len()];
            Some(Choice::without_figures(index))
        }
        ChoicePolicy::LeastInFlight => {
            let fewest = open
                .iter()
                .map(|index| upstreams[*index].in_flight())
                .min()?;
            let ties = open
                .iter()
                .copied()
                .filter(|index| upstreams[*index].in_flight() == fewest);
            ties.choose(rng).map(Choice::without_figures)
        }
        ChoicePolicy::Score => pick_by_score(upstreams, open, context, rng),
    }
}

fn is_open(upstream: &Upstream, context: &ChoiceContext<'_>) -> bool {
    upstream.is_eligible(context.now)
        && upstream.has_room(context.work, context.settings)
        && !context.excluded.contains(&upstream.spec.id)
}

fn pick_by_score(
    upstreams: &[Upstream],
    open: &[usize],
    context: &ChoiceContext<'_>,
    rng: &mut impl rand::Rng,
) -> Option<Choice> {
    let settings = context.settings;
    let mean_load = open
        .iter()
        .map(|i| upstreams[*i].load(settings))
        .sum::<f64>()
        / open.len() as f64;
    let typical_interval = typical_interval(upstreams);
    let mut picked = open.iter().copied().choose_multiple(rng, SAMPLE_SIZE);
    // The more failure domains there are, the rarer a sample has an upstream of the own one.
    let is_local = |index: &usize| !upstreams[*index].spec.remote;
    if !picked.iter().any(is_local) {
        picked.extend(open.iter().copied().filter(is_local).choose(rng));
    }
    if settings.prefix_affinity {
        let holder = open
            .iter()
            .copied()
            .map(|i| (upstreams[i].prefixes.matching_blocks(context.prefix), i))
            .filter(|(blocks, _)| *blocks > 0)
            .max();
        picked.extend(holder.map(|(_, index)| index));
    }
    // Always consider limited upstreams with a permit. Otherwise, in a large fleet, permits would
    // expire unused, and no answer would arrive to show that the limit has ended.
    let has_permit = |index: &usize| {
        let upstream = &upstreams[*index];
        upstream.limit_rate(context.now).is_some() && upstream.limit.has_permit(context.now)
    };
    picked.extend(open.iter().copied().filter(has_permit));
    picked.sort_unstable();
    picked.dedup();
    // The first of several equal scores wins, so shuffle to keep a daemon from always preferring
    // the same upstream.
    picked.shuffle(rng);
    let scored: Vec<(usize, Candidate)> = picked
        .into_iter()
        .map(|index| {
            let upstream = &upstreams[index];
            (index, score(upstream, context, mean_load, typical_interval))
        })
        .collect();
    let best = scored
        .iter()
        .min_by(|a, b| a.1.score.total_cmp(&b.1.score))
        .map(|(index, _)| *index)?;
    Some(Choice {
        index: best,
        compared: scored.into_iter().map(|(_, candidate)| candidate).collect(),
    })
}

fn score(
    upstream: &Upstream,
    context: &ChoiceContext<'_>,
    mean_load: f64,
    typical_interval: Option<Duration>,
) -> Candidate {
    let settings = context.settings;
    let load = upstream.load(settings);
    let cached_blocks = upstream.prefixes.matching_blocks(context.prefix);
    // Lower bound of the mean load, so that prefix affinity also takes effect when the target is
    // nearly idle.
    const MIN_MEAN_LOAD: f64 = 0.2;
    let bound = settings.affinity_load_bound * mean_load.max(MIN_MEAN_LOAD);
    let uses_affinity = settings.prefix_affinity && load <= bound && !context.prefix.is_empty();
    let uncached_fraction = if uses_affinity {
        1.0 - cached_blocks as f64 / context.prefix.len() as f64
    } else {
        1.0
    };
    let distance = if upstream.spec.remote {
        settings.remote_penalty.as_secs_f64() * DISTANCE_WEIGHT
    } else {
        0.0
    };
    let slowness = slowness(upstream, typical_interval);
    Candidate {
        upstream: upstream.spec.id.clone(),
        load,
        prefix_blocks: cached_blocks,
        score: slowness * (load + PREFIX_WEIGHT * uncached_fraction) + distance,
    }
}

/// The upstream's token interval relative to the typical one, between 1 and [`MAX_SLOWNESS`]; 1
/// if unknown.
fn slowness(upstream: &Upstream, typical: Option<Duration>) -> f64 {
    let (Some(own), Some(typical)) = (upstream.token_interval.get(), typical) else {
        return 1.0;
    };
    (own.as_secs_f64() / typical.as_secs_f64().max(f64::EPSILON)).clamp(1.0, MAX_SLOWNESS)
}

/// The median interval between two output tokens over all upstreams; `None` if no upstream has
/// been measured.
pub fn typical_interval(upstreams: &[Upstream]) -> Option<Duration> {
    let mut intervals: Vec<Duration> = upstreams
        .iter()
        .filter_map(|upstream| upstream.token_interval.get())
        .collect();
    if intervals.is_empty() {
        return None;
    }
    let middle = intervals.len() / 2;
    Some(*intervals.select_nth_unstable(middle).1)
}
