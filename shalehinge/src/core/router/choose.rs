//! Choice of an upstream for one request.
//!
//! The score is the part of the capacity in use, plus what of the prompt must
//! be computed anew, times how much slower the upstream is than the median.
//! The lowest score of a few random candidates, and of those that hold the
//! prompt's start, wins. The few avoid that all daemons pick the same upstream
//! from reports of the same age.

use std::time::Duration;

use rand::seq::{IteratorRandom, SliceRandom};

use crate::core::types::Timestamp;
use crate::settings::router::{ChoicePolicy, RouterSettings};

use super::request::{PrefixChain, UpstreamId};
use super::upstream::{Upstream, Work};

/// Random candidates that are compared.
const SAMPLE: usize = 5;
/// What a prompt that must be computed whole counts against a full upstream.
const PREFIX_WEIGHT: f64 = 0.4;
/// Slowness above this counts no further.
const MOST_SLOWNESS: f64 = 5.0;
/// What a second of extra distance counts against a full upstream.
const DISTANCE_WEIGHT: f64 = 1.0;

/// A chosen upstream and the figures behind the choice, for the log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Place in the list of candidates.
    pub index: usize,
    /// Figures of those that were compared.
    pub compared: Vec<Candidate>,
}

impl Choice {
    /// A choice for which nothing was compared.
    pub fn without_figures(index: usize) -> Self {
        Self {
            index,
            compared: Vec::new(),
        }
    }
}

/// Figures of one candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Part of its capacity in use.
    pub load: f64,
    /// Blocks of the prompt that it probably holds.
    pub prefix_blocks: usize,
    /// The score; lower is better.
    pub score: f64,
}

/// What a choice depends on.
pub struct ChoiceContext<'a> {
    /// Now.
    pub now: Timestamp,
    /// Settings of the router.
    pub settings: &'a RouterSettings,
    /// Start of the prompt.
    pub prefix: &'a PrefixChain,
    /// What the request costs.
    pub work: Work,
    /// Upstreams that were tried before.
    pub tried: &'a [UpstreamId],
    /// Counts the choices of this target, for taking turns.
    pub turn: usize,
}

/// What came of a choice.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Selection {
    /// Where the request may go now, if anywhere.
    pub choice: Option<Choice>,
    /// The upstream that would have been chosen if there were a permit for it.
    pub wanted: Option<usize>,
}

/// Picks an upstream with room that may be sent the request.
pub fn choose(
    upstreams: &[Upstream],
    context: &ChoiceContext<'_>,
    rng: &mut impl rand::Rng,
) -> Selection {
    let mut open: Vec<usize> = (0..upstreams.len())
        .filter(|index| is_open(&upstreams[*index], context))
        .collect();
    let may_send = |index: &usize| upstreams[*index].may_be_sent(context.now);
    let first = pick(upstreams, &open, context, rng);
    let wanted = first.as_ref().map(|choice| choice.index);
    if wanted.is_none_or(|index| may_send(&index)) {
        return Selection {
            choice: first,
            wanted: None,
        };
    }
    open.retain(may_send);
    Selection {
        choice: pick(upstreams, &open, context, rng),
        wanted,
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
            let index = open[context.turn % open.len()];
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
        ChoicePolicy::Score => by_score(upstreams, open, context, rng),
    }
}

fn is_open(upstream: &Upstream, context: &ChoiceContext<'_>) -> bool {
    upstream.is_eligible(context.now)
        && upstream.has_room(context.work, context.settings)
        && !context.tried.contains(&upstream.spec.id)
}

fn by_score(
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
    let mut picked = open.iter().copied().choose_multiple(rng, SAMPLE);
    if settings.prefix_affinity {
        let holder = open
            .iter()
            .copied()
            .map(|i| (upstreams[i].prefixes.matching_blocks(context.prefix), i))
            .filter(|(blocks, _)| *blocks > 0)
            .max();
        picked.extend(holder.map(|(_, index)| index));
    }
    // Else permits lapse unused in a large fleet, and no answer ever ends the limit.
    let has_permit = |index: &usize| {
        let limit = &upstreams[*index].limit;
        limit.rate().is_some() && limit.may_send(context.now)
    };
    picked.extend(open.iter().copied().filter(has_permit));
    picked.sort_unstable();
    picked.dedup();
    // The first of equals wins: no daemon may have the same first one each time.
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
    let held = upstream.prefixes.matching_blocks(context.prefix);
    // A small floor lets affinity work when nearly nothing runs.
    const IDLE_LOAD: f64 = 0.2;
    let bound = settings.affinity_load_bound * mean_load.max(IDLE_LOAD);
    let counts = settings.prefix_affinity && load <= bound && !context.prefix.is_empty();
    let anew = if counts {
        1.0 - held as f64 / context.prefix.len() as f64
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
        prefix_blocks: held,
        score: slowness * (load + PREFIX_WEIGHT * anew) + distance,
    }
}

/// How many times slower than typical; 1 if not known.
fn slowness(upstream: &Upstream, typical: Option<Duration>) -> f64 {
    let (Some(own), Some(typical)) = (upstream.token_interval.get(), typical) else {
        return 1.0;
    };
    (own.as_secs_f64() / typical.as_secs_f64().max(f64::EPSILON)).clamp(1.0, MOST_SLOWNESS)
}

/// The median time between two tokens over all upstreams.
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
