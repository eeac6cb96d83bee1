//! Which upstream holds the start of a prompt in its cache: hints, never truth.
//!
//! Filled by what this daemon sent there. Bounded: the oldest half is
//! forgotten when it is full.

use std::collections::HashSet;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::request::PrefixChain;

/// Bytes of a prompt that one hash covers; about 64 tokens of 4 bytes.
pub const BLOCK_BYTES: usize = 256;
/// Tokens in a block, for estimates.
pub const BLOCK_TOKENS: u32 = 64;
/// Blocks that a chain has at the most.
pub const MAX_BLOCKS: usize = 64;
/// Hashes kept for one upstream.
const CAPACITY: usize = 4_096;

/// Hashes the growing starts of a prompt.
pub fn chain_of(prompt: &[u8]) -> PrefixChain {
    let mut hasher = SipHasher13::new();
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hasher.write(block);
            hasher.finish()
        })
        .collect()
}

/// What one upstream probably holds.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    // Looked up by key only, never iterated in an order that matters.
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl PrefixHints {
    /// The upstream was sent this prompt.
    pub fn record(&mut self, chain: &PrefixChain) {
        for hash in chain {
            self.newer.insert(*hash);
        }
        if self.newer.len() >= CAPACITY / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
    }

    /// Blocks of the prompt that it probably holds.
    pub fn matching_blocks(&self, chain: &PrefixChain) -> usize {
        chain
            .iter()
            .take_while(|hash| self.newer.contains(hash) || self.older.contains(hash))
            .count()
    }

    /// Forgets all, as after a restart of the upstream.
    pub fn clear(&mut self) {
        self.newer.clear();
        self.older.clear();
    }
}
