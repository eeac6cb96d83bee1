//! Requests that fail wherever they run, so that their failures show nothing of upstreams.
//!
//! A failure counts against the upstream that answered it, unless the same request failed at
//! another one too and was completed by none since. Guards against one caller's request that
//! takes one upstream after the other out of use for all, until none may be ejected that really
//! fails.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::Timestamp;

use super::request::UpstreamId;

/// How long a failure is remembered after the last one of the same request. As long as
/// the longest ejection, so that a request that comes less often ejects one upstream at a time.
const FAILURE_MEMORY: Duration = Duration::from_secs(60);
/// Requests that are remembered at most, some 100 bytes each.
const MOST_RECORDS: usize = 1_024;

/// What a failure shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It counts against the upstream that answered it.
    OfUpstream,
    /// It is the request's own.
    OfRequest {
        /// Another upstream at which the same request failed.
        failed_at: UpstreamId,
    },
}

#[derive(Clone, Debug)]
struct Record {
    first_at: UpstreamId,
    /// Another upstream at which it failed as well.
    other: Option<UpstreamId>,
    last: Timestamp,
}

/// Requests that failed lately, and that none completed since.
#[derive(Clone, Debug, Default)]
pub struct FailingRequests {
    records: BTreeMap<Fingerprint, Record>,
}

impl FailingRequests {
    /// An upstream answered that it failed.
    pub fn note_failure(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
    ) -> Fault {
        self.forget_old(now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            self.remember(now, fingerprint, upstream);
            return Fault::OfUpstream;
        };
        record.last = now;
        if record.first_at != *upstream {
            record.other = Some(upstream.clone());
            let failed_at = record.first_at.clone();
            return Fault::OfRequest { failed_at };
        }
        match &record.other {
            Some(other) => Fault::OfRequest {
                failed_at: other.clone(),
            },
            None => Fault::OfUpstream,
        }
    }

    /// An upstream completed it, so that its failures were those of upstreams.
    pub fn note_completion(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    fn remember(&mut self, now: Timestamp, fingerprint: Fingerprint, upstream: &UpstreamId) {
        if self.records.len() >= MOST_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.records.remove(&oldest);
            }
        }
        let record = Record {
            first_at: upstream.clone(),
            other: None,
            last: now,
        };
        self.records.insert(fingerprint, record);
    }

    fn forget_old(&mut self, now: Timestamp) {
        self.records
            .retain(|_, record| now.since(record.last) < FAILURE_MEMORY);
    }
}
