//! What a request asks, the same however often and wherever it comes.
//!
//! A caller that sends a request again gives it a new id, mostly at another daemon. Only what
//! it asks shows that it is the same.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::types::Customer;

/// Bytes of the start and of the end of a body that count, besides its length. Hashing
/// both takes less than a millisecond of a quarter core, and a body of megabytes would hold up
/// all other requests of the daemon.
const HASHED_BYTES_PER_END: usize = 32 * 1024;

/// Names what a request asks: customer, method, path and body. It is cut from a SHA-256, as
/// with a weaker hash a customer could make requests that pass for those of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a request; `path` includes host and query as far as they count.
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
        let digest = hasher.finalize();
        let (prefix, _) = digest.split_at(size_of::<u64>());
        let value = prefix
            .iter()
            .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        Self(value)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
