//! Rendezvous hashing, which assigns responsibilities to live members.
//!
//! No safety property depends on it: if two daemons see different members, some work is merely
//! done twice.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Weight of `member` for `subject`; the member with the highest weight is responsible.
pub fn rendezvous_weight(subject: &impl Hash, member: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.hash(&mut hasher);
    member.hash(&mut hasher);
    hasher.finish()
}

/// The `count` members with the highest weights for `subject`, in descending order.
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
