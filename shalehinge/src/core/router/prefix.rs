//! Hints about which prompt prefixes an upstream's cache holds. They may be wrong.
//!
//! They are derived from the requests that this daemon sent there. Memory is bounded: when the
//! set is full, the older half is discarded.

use std::collections::HashSet;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::request::PrefixChain;
use crate::core::fingerprint::Fingerprint;

/// Bytes of a prompt covered by one hash; about 64 tokens of 4 bytes.
pub const BLOCK_BYTES: usize = 256;
/// Estimated number of tokens in a block.
pub const BLOCK_TOKENS: u32 = 64;
/// Maximum number of blocks in a chain.
pub const MAX_BLOCKS: usize = 64;
/// Maximum number of hashes kept per upstream.
const CAPACITY: usize = 4_096;

/// Hashes each prefix of the prompt that consists of whole blocks, up to [`MAX_BLOCKS`].
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

/// Fingerprints of the beginnings of a prompt that other prompts may share: of 1, 2, 4, ... blocks,
/// without the last block, which is the request's own.
pub fn shared_parts(chain: &PrefixChain) -> Vec<Fingerprint> {
    let lengths = std::iter::successors(Some(1), |length| Some(length * 2));
    let lengths = lengths.take_while(|length| *length < chain.len());
    lengths
        .map(|length| Fingerprint::of_prompt_part(&chain[length - 1].to_be_bytes()))
        .collect()
}

/// Prefixes that an upstream's cache probably holds.
#[derive(Clone, Debug, Default)]
pub struct PrefixHints {
    // Used for lookups only, never iterated where order matters.
    /// Hashes recorded since `older` was last replaced.
    newer: HashSet<u64>,
    /// Hashes recorded before; replaced when `newer` reaches half the capacity.
    older: HashSet<u64>,
}

impl PrefixHints {
    /// Records that the upstream was sent this prompt.
    pub fn record(&mut self, chain: &PrefixChain) {
        for hash in chain {
            self.newer.insert(*hash);
        }
        if self.newer.len() >= CAPACITY / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
    }

    /// Number of leading prompt blocks that the upstream's cache probably holds.
    pub fn matching_blocks(&self, chain: &PrefixChain) -> usize {
        chain
            .iter()
            .take_while(|hash| self.newer.contains(hash) || self.older.contains(hash))
            .count()
    }

    /// Discards all hints, for example when the upstream may have restarted.
    pub fn clear(&mut self) {
        self.newer.clear();
        self.older.clear();
    }
}
