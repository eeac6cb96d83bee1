//! Detects requests that fail on every upstream, whose failures say nothing about the upstreams.
//!
//! A failure counts against the upstream that returned it, unless the same request also failed on
//! another upstream and no upstream has completed it since. Otherwise a failing request of one
//! caller would eject one upstream after another for all callers, until the limit on ejections is
//! reached and upstreams that are really failing can no longer be ejected.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::Timestamp;

use super::request::UpstreamId;

/// How long a failure is remembered after the last failure of the same request. Equal to the
/// longest ejection, so that a request that arrives less often ejects only one upstream at a
/// time.
const FAILURE_MEMORY: Duration = Duration::from_secs(60);
/// Maximum number of requests to remember, at about 100 bytes each.
const MOST_RECORDS: usize = 1_024;

/// What a failure is attributed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The upstream that returned it.
    OfUpstream,
    /// The request itself.
    OfRequest {
        /// Another upstream on which the same request failed.
        failed_at: UpstreamId,
    },
}

#[derive(Clone, Debug)]
struct Record {
    first_at: UpstreamId,
    /// Another upstream on which the request failed as well.
    other: Option<UpstreamId>,
    last: Timestamp,
}

/// Requests that failed recently and that no upstream has completed since.
#[derive(Clone, Debug, Default)]
pub struct FailingRequests {
    records: BTreeMap<Fingerprint, Record>,
}

impl FailingRequests {
    /// Records that an upstream returned a failure, and attributes it.
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

    /// Records that an upstream completed the request, so that its earlier failures are
    /// attributable to upstreams.
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
