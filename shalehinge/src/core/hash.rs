//! Rendezvous hashing: who of the live members is responsible for what.
//!
//! Nothing that must be safe depends on it; two daemons that see different
//! members only do some work twice.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Weight of `member` for `subject`; the highest weight is responsible.
pub fn rendezvous_weight(subject: &impl Hash, member: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}

/// The `count` members with the highest weight for `subject`, highest first.
pub fn highest_weighted<M: Hash + Ord>(
    subject: &impl Hash,
    members: impl Iterator<Item = M>,
    count: usize,
) -> Vec<M> {
    let mut weighted: Vec<(u64, M)> = members
        .map(|member| (rendezvous_weight(subject, &member), member))
        .collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, member)| member).collect()
}
