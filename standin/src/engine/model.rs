//! The model of a replica's engine: what a continuous batch does, step by step.
//!
//! Each step lets every running sequence compute one token, or a piece of its
//! prompt. The time of a step grows with the sequences and with the prompt
//! tokens in it. KV memory is taken as sequences grow; when it is full, the
//! youngest sequence is put back and computed anew. Used by the stand-in engine
//! in real time and by the experiments in their own time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use shalehinge::core::engine::EngineLoad;
use shalehinge::core::router::prefix::BLOCK_TOKENS;
use shalehinge::core::router::request::PrefixChain;

/// How fast and large an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineParameters {
    /// Sequences in a batch.
    pub slots: u32,
    /// KV memory in tokens.
    pub kv_total: u64,
    /// Prompt tokens in one step.
    pub prefill_chunk: u32,
    /// Time of a step with nothing in it.
    pub step_base: Duration,
    /// Time that each sequence adds to a step.
    pub step_per_sequence: Duration,
    /// Time that each prompt token adds to a step.
    pub step_per_prompt_token: Duration,
    /// Blocks of prompts that the cache holds.
    pub cache_blocks: usize,
    /// All times are longer by this factor.
    pub slowness: f64,
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
            slowness: 1.0,
        }
    }
}

/// A request to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct SequenceSpec {
    /// Name of the sequence.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Start of the prompt, hashed.
    pub prefix: PrefixChain,
    /// Higher goes first.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct Sequence {
    spec: SequenceSpec,
    prompt_left: u32,
    generated: u32,
}

impl Sequence {
    /// KV memory that it takes now.
    fn kv(&self) -> u64 {
        let all = u64::from(self.spec.prompt_tokens) + u64::from(self.generated);
        all.saturating_sub(u64::from(self.prompt_left))
    }
}

/// A token that a step gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// Which sequence.
    pub id: u64,
    /// Its number, from 1.
    pub number: u32,
    /// Whether it is the last.
    pub is_last: bool,
}

/// One step of the batch.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// How long it takes.
    pub duration: Duration,
    /// Tokens at its end.
    pub tokens: Vec<Token>,
}

/// The engine of one replica.
#[derive(Clone, Debug)]
pub struct EngineModel {
    parameters: EngineParameters,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: PrefixCache,
    /// Prompt blocks that were found in the cache.
    pub hit_blocks: u64,
    /// Prompt blocks looked up.
    pub asked_blocks: u64,
    /// Sequences put back as KV memory was full.
    pub preemptions: u64,
}

impl EngineModel {
    /// An idle engine with an empty cache.
    pub fn new(parameters: EngineParameters) -> Self {
        Self {
            cache: PrefixCache::new(parameters.cache_blocks),
            parameters,
            running: Vec::new(),
            waiting: VecDeque::new(),
            hit_blocks: 0,
            asked_blocks: 0,
            preemptions: 0,
        }
    }

    /// Makes all times longer or shorter from now on.
    pub fn set_slowness(&mut self, slowness: f64) {
        self.parameters.slowness = slowness;
    }

    /// Takes in a sequence.
    pub fn submit(&mut self, spec: SequenceSpec) {
        let sequence = Sequence {
            prompt_left: spec.prompt_tokens,
            generated: 0,
            spec,
        };
        let place = self
            .waiting
            .iter()
            .position(|other| other.spec.priority < sequence.spec.priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(place, sequence);
    }

    /// Breaks off a sequence.
    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|sequence| sequence.spec.id != id);
        self.waiting.retain(|sequence| sequence.spec.id != id);
    }

    /// Breaks off all sequences and forgets the cache; says which there were.
    pub fn reset(&mut self) -> Vec<u64> {
        self.cache = PrefixCache::new(self.parameters.cache_blocks);
        let running = self.running.drain(..);
        let all = running.chain(self.waiting.drain(..));
        all.map(|sequence| sequence.spec.id).collect()
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Load as the engine reports it.
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
        self.running.iter().map(Sequence::kv).sum()
    }

    /// Does one step; `None` if there is nothing to do.
    pub fn step(&mut self) -> Option<Step> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let prompt_tokens = self.prefill();
        let tokens = self.decode();
        self.make_room();
        let sequences = self.running.len() as u32;
        let time = self.parameters.step_base
            + self.parameters.step_per_sequence * sequences
            + self.parameters.step_per_prompt_token * prompt_tokens;
        let done: Vec<u64> = tokens.iter().filter(|t| t.is_last).map(|t| t.id).collect();
        self.running
            .retain(|sequence| !done.contains(&sequence.spec.id));
        Some(Step {
            duration: time.mul_f64(self.parameters.slowness),
            tokens,
        })
    }

    /// Takes waiting sequences in while a slot and memory for their prompt are free.
    fn admit(&mut self) {
        while self.running.len() < self.parameters.slots as usize {
            let Some(next) = self.waiting.front() else {
                return;
            };
            let needed = u64::from(next.spec.prompt_tokens) + u64::from(next.generated);
            let committed: u64 = self
                .running
                .iter()
                .map(|s| u64::from(s.spec.prompt_tokens) + u64::from(s.generated))
                .sum();
            let fits = committed + needed <= self.parameters.kv_total;
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

    fn use_cache(&mut self, sequence: &mut Sequence) {
        let chain = &sequence.spec.prefix;
        let held = self.cache.matching_blocks(chain);
        self.asked_blocks += chain.len() as u64;
        self.hit_blocks += held as u64;
        let held_tokens = held as u32 * BLOCK_TOKENS;
        sequence.prompt_left = sequence.prompt_left.saturating_sub(held_tokens);
        self.cache.insert(chain);
    }

    /// Computes pieces of prompts, oldest first; says how many tokens.
    fn prefill(&mut self) -> u32 {
        let mut left = self.parameters.prefill_chunk;
        for sequence in &mut self.running {
            let piece = sequence.prompt_left.min(left);
            sequence.prompt_left -= piece;
            left -= piece;
        }
        self.parameters.prefill_chunk - left
    }

    /// One token for each sequence whose prompt is done.
    fn decode(&mut self) -> Vec<Token> {
        let mut tokens = Vec::new();
        for sequence in &mut self.running {
            if sequence.prompt_left > 0 {
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

    /// Puts back the youngest sequences while KV memory is over its bound.
    fn make_room(&mut self) {
        while self.kv_used() > self.parameters.kv_total && self.running.len() > 1 {
            let Some(mut youngest) = self.running.pop() else {
                return;
            };
            self.preemptions += 1;
            youngest.prompt_left = youngest.spec.prompt_tokens + youngest.generated;
            self.waiting.push_front(youngest);
        }
    }
}

/// Blocks of prompts, the least recently used dropped first.
#[derive(Clone, Debug)]
struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: HashMap<u64, u64>,
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

    fn matching_blocks(&self, chain: &PrefixChain) -> usize {
        chain
            .iter()
            .take_while(|hash| self.used_at.contains_key(hash))
            .count()
    }

    fn insert(&mut self, chain: &PrefixChain) {
        for hash in chain {
            self.clock += 1;
            if let Some(before) = self.used_at.insert(*hash, self.clock) {
                self.by_use.remove(&before);
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
