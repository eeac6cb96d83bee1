//! Content fingerprints, which identify a request that is sent again.
//!
//! A caller that repeats a request gives it a new id and usually sends it to another daemon. Only
//! the content shows that it is the same request.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::router::request::Target;
use super::types::Customer;

/// Number of bytes hashed at each end of a body, in addition to its length. Hashing both ends
/// takes less than 1 ms on a quarter of a core; hashing a body of several megabytes would delay
/// all other requests of the daemon.
const HASHED_BYTES_PER_END: usize = 32 * 1024;

/// Set in the fingerprints of parts of prompts, and not in those of requests.
const PROMPT_PART_BIT: u64 = 1 << 63;

/// Identifies the content of a request (customer, method, path and body), or a part that prompts
/// share. It is a truncated SHA-256, as a weaker hash would let a customer forge requests that
/// collide with those of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request; `path` includes host and query as far as they are relevant.
    pub fn of(customer: &Customer, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [customer.as_str(), method, path] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update((body.len() as u64).to_be_bytes());
        if body.len() <= 2 * HASHED_BYTES_PER_END {
            hasher.update(body);
        } else {
            hasher.update(&body[..HASHED_BYTES_PER_END]);
            hasher.update(&body[body.len() - HASHED_BYTES_PER_END..]);
        }
        Self(truncated(hasher) & !PROMPT_PART_BIT)
    }

    /// The fingerprint of a part of prompts, by the part's id. It covers no customer and no model, as
    /// a part may be shared by the prompts of several customers and for several models.
    pub fn of_prompt_part(part: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(part);
        Self(truncated(hasher) | PROMPT_PART_BIT)
    }

    /// The fingerprint of a target, to be combined with those of parts of prompts.
    pub fn of_target(target: &Target) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(target.to_string());
        Self(truncated(hasher) & !PROMPT_PART_BIT)
    }

    /// The fingerprint of this part of prompts at one target alone.
    pub fn at_target(self, target: Self) -> Self {
        Self((self.0 ^ target.0) | PROMPT_PART_BIT)
    }

    /// Whether it identifies a part of prompts.
    pub fn is_prompt_part(self) -> bool {
        self.0 & PROMPT_PART_BIT != 0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A fingerprint as stored objects hold it: in hexadecimal, as other programs may read numbers of 64
/// bits inexactly.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoredFingerprint(String);

impl From<Fingerprint> for StoredFingerprint {
    fn from(fingerprint: Fingerprint) -> Self {
        Self(fingerprint.to_string())
    }
}

impl StoredFingerprint {
    /// The fingerprint; `None` if the text is not one.
    pub fn parse(&self) -> Option<Fingerprint> {
        u64::from_str_radix(&self.0, 16).ok().map(Fingerprint)
    }
}

/// The first 64 bits of a digest.
fn truncated(hasher: Sha256) -> u64 {
    let digest = hasher.finalize();
    let (prefix, _) = digest.split_at(size_of::<u64>());
    let bytes = prefix.iter();
    bytes.fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
