//! Performance model of a replica's engine: simulates continuous batching step by step.
//!
//! In each step, every running sequence either decodes one token or prefills a chunk of its
//! prompt. The duration of a step grows with the number of sequences and of prompt tokens in
//! it. KV cache usage grows with the sequences; when the KV cache is full, the sequence admitted
//! last is preempted and recomputed later. The stand-in engine runs the model in real time, the
//! experiments in simulated time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use shalehinge::core::engine::EngineLoad;
use shalehinge::core::router::prefix::BLOCK_TOKENS;
use shalehinge::core::router::request::PrefixChain;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineParameters {
    /// Maximum number of sequences in a batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_total: u64,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Duration of a step with an empty batch.
    pub step_base: Duration,
    /// Time that each sequence adds to a step.
    pub step_per_sequence: Duration,
    /// Time that each prompt token adds to a step.
    pub step_per_prompt_token: Duration,
    /// Capacity of the prefix cache, in blocks of `BLOCK_TOKENS` tokens.
    pub cache_blocks: usize,
    /// Factor by which the duration of every step is multiplied.
    pub slowdown: f64,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            slots: 32,
            kv_total: 48_000,
            prefill_chunk: 1_024,
            step_base: Duration::from_millis(18),
            step_per_sequence: Duration::from_micros(400),
            step_per_prompt_token: Duration::from_micros(40),
            cache_blocks: 1_500,
            slowdown: 1.0,
        }
    }
}

/// A request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct SequenceSpec {
    /// Identifier of the sequence, unique within the engine.
    pub id: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Hashes of the leading blocks of the prompt, for the prefix cache.
    pub prefix: PrefixChain,
    /// Waiting sequences with a higher priority are admitted first.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct Sequence {
    spec: SequenceSpec,
    remaining_prompt_tokens: u32,
    generated: u32,
}

impl Sequence {
    /// KV cache that the sequence currently uses, in tokens.
    fn kv_tokens(&self) -> u64 {
        let total = u64::from(self.spec.prompt_tokens) + u64::from(self.generated);
        total.saturating_sub(u64::from(self.remaining_prompt_tokens))
    }
}

/// A token that a step generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Identifier of the sequence.
    pub id: u64,
    /// Position in the output, starting from 1.
    pub number: u32,
    /// Whether it is the last token of the sequence.
    pub is_last: bool,
}

/// One step of the batch.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Duration of the step.
    pub duration: Duration,
    /// Tokens generated, available at the end of the step.
    pub tokens: Vec<Token>,
}

/// Model of the engine of one replica.
#[derive(Clone, Debug)]
pub struct EngineModel {
    parameters: EngineParameters,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: PrefixCache,
    /// Total number of prompt blocks found in the prefix cache.
    pub cache_hit_blocks: u64,
    /// Total number of prompt blocks looked up in the prefix cache.
    pub cache_lookup_blocks: u64,
    /// Total number of sequences preempted because the KV cache was full.
    pub preemptions: u64,
}

impl EngineModel {
    /// Returns an idle engine with an empty prefix cache.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            cache: PrefixCache::new(parameters.cache_blocks),
            parameters,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache_hit_blocks: 0,
            cache_lookup_blocks: 0,
            preemptions: 0,
        }
    }

    /// Sets the factor by which the duration of every further step is multiplied.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.parameters.slowdown = slowdown;
    }

    /// Queues a sequence behind those of the same or a higher priority.
    pub fn submit(&mut self, spec: SequenceSpec) {
        let sequence = Sequence {
            remaining_prompt_tokens: spec.prompt_tokens,
            generated: 0,
            spec,
        };
        let position = self
            .waiting
            .iter()
            .position(|other| other.spec.priority < sequence.spec.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(position, sequence);
    }

    /// Cancels a sequence, whether it is waiting or running.
    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|sequence| sequence.spec.id != id);
        self.waiting.retain(|sequence| sequence.spec.id != id);
    }

    /// Cancels all sequences and clears the prefix cache. Returns the identifiers of the
    /// cancelled sequences.
    pub fn reset(&mut self) -> Vec<u64> {
        self.cache = PrefixCache::new(self.parameters.cache_blocks);
        let running = self.running.drain(..);
        let all = running.chain(self.waiting.drain(..));
        all.map(|sequence| sequence.spec.id).collect()
    }

    /// Whether no sequence is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the current load as the engine reports it.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.parameters.slots,
            kv_used: self.kv_used(),
            kv_total: self.parameters.kv_total,
            age_ms: Some(0),
        }
    }

    fn kv_used(&self) -> u64 {
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    /// Runs one step. Returns `None` if no sequence is running or waiting.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prompt_tokens = self.prefill();
        let tokens = self.decode();
        self.preempt_over_capacity();
        let sequences = self.running.len() as u32;
        let duration = self.parameters.step_base
            + self.parameters.step_per_sequence * sequences
            + self.parameters.step_per_prompt_token * prompt_tokens;
        let completed: Vec<u64> = tokens.iter().filter(|t| t.is_last).map(|t| t.id).collect();
        self.running
            .retain(|sequence| !completed.contains(&sequence.spec.id));
        Some(Step {
            duration: duration.mul_f64(self.parameters.slowdown),
            tokens,
        })
    }

    /// Admits waiting sequences while there is a free slot, and KV cache for the prompts and the
    /// outputs so far. An empty batch admits a sequence of any size.
    fn admit(&mut self) {
        while self.running.len() < self.parameters.slots as usize {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let required = u64::from(next.spec.prompt_tokens) + u64::from(next.generated);
            let committed: u64 = self
                .running
                .iter()
                .map(|s| u64::from(s.spec.prompt_tokens) + u64::from(s.generated))
                .sum();
            let fits = committed + required <= self.parameters.kv_total;
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_front() else {
                return;
            };
            self.use_cache(&mut sequence);
            self.running.push(sequence);
        }
    }

    /// Skips the prefill of the prompt blocks that are cached, and caches the others.
    fn use_cache(&mut self, sequence: &mut Sequence) {
        let chain = &sequence.spec.prefix;
        let cached_blocks = self.cache.matching_blocks(chain);
        self.cache_lookup_blocks += chain.len() as u64;
        self.cache_hit_blocks += cached_blocks as u64;
        let cached_tokens = cached_blocks as u32 * BLOCK_TOKENS;
        sequence.remaining_prompt_tokens = sequence
            .remaining_prompt_tokens
            .saturating_sub(cached_tokens);
        self.cache.insert(chain);
    }

    /// Prefills chunks of prompts in the order of admission. Returns the number of prompt tokens.
    fn prefill(&mut self) -> u32 {
        let mut budget = self.parameters.prefill_chunk;
        for sequence in &mut self.running {
            let chunk = sequence.remaining_prompt_tokens.min(budget);
            sequence.remaining_prompt_tokens -= chunk;
            budget -= chunk;
        }
        self.parameters.prefill_chunk - budget
    }

    /// Generates one token for each sequence whose prefill is complete.
    fn decode(&mut self) -> Vec<Token> {
        let mut tokens = Vec::new();
        for sequence in &mut self.running {
            if sequence.remaining_prompt_tokens > 0 {
                continue;
            }
            sequence.generated += 1;
            tokens.push(Token {
                id: sequence.spec.id,
                number: sequence.generated,
                is_last: sequence.generated >= sequence.spec.output_tokens,
            });
        }
        tokens
    }

    /// Preempts the sequences admitted last while KV cache usage exceeds its capacity.
    fn preempt_over_capacity(&mut self) {
        while self.kv_used() > self.parameters.kv_total && self.running.len() > 1 {
            let Some(mut youngest) = self.running.pop() else {
                return;
            };
            self.preemptions += 1;
            youngest.remaining_prompt_tokens = youngest.spec.prompt_tokens + youngest.generated;
            self.waiting.push_front(youngest);
        }
    }
}

/// Hashes of prompt blocks, evicted in least recently used order.
#[derive(Clone, Debug)]
struct PrefixCache {
    capacity: usize,
    /// Logical time: number of insertions.
    clock: u64,
    /// Time of last use by block hash.
    used_at: HashMap<u64, u64>,
    /// Block hash by time of last use.
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the number of leading blocks of the chain that are cached.
    fn matching_blocks(&self, chain: &PrefixChain) -> usize {
        chain
            .iter()
            .take_while(|hash| self.used_at.contains_key(hash))
            .count()
    }

    fn insert(&mut self, chain: &PrefixChain) {
        for hash in chain {
            self.clock += 1;
            if let Some(previous) = self.used_at.insert(*hash, self.clock) {
                self.by_use.remove(&previous);
            }
            self.by_use.insert(self.clock, *hash);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&oldest);
        }
    }
}
