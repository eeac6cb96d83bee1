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
const FAILURE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of requests to remember, at about 100 bytes each.
const MAX_RECORDS: usize = 1_024;

/// What a failure is attributed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The upstream that returned it.
    Upstream,
    /// The request itself.
    Request {
        /// Another upstream on which the same request failed.
        failed_at: UpstreamId,
    },
}

#[derive(Clone, Debug)]
struct Record {
    /// The upstream on which the request failed first.
    first_at: UpstreamId,
    /// Another upstream on which the request failed as well.
    second_at: Option<UpstreamId>,
    /// When the request last failed.
    last: Timestamp,
}

/// Requests that failed recently and that no upstream has completed since.
#[derive(Clone, Debug, Default)]
pub struct FailingRequests {
    records: BTreeMap<Fingerprint, Record>,
}

impl FailingRequests {
    /// Records that an upstream returned a failure, and attributes it.
    pub fn record_failure(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
    ) -> FailureCause {
        self.remove_expired(now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            self.insert(now, fingerprint, upstream);
            return FailureCause::Upstream;
        };
        record.last = now;
        if record.first_at != *upstream {
            record.second_at = Some(upstream.clone());
            let failed_at = record.first_at.clone();
            return FailureCause::Request { failed_at };
        }
        match &record.second_at {
            Some(second_at) => FailureCause::Request {
                failed_at: second_at.clone(),
            },
            None => FailureCause::Upstream,
        }
    }

    /// Records that an upstream completed the request, so that its earlier failures are
    /// attributable to upstreams.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    fn insert(&mut self, now: Timestamp, fingerprint: Fingerprint, upstream: &UpstreamId) {
        if self.records.len() >= MAX_RECORDS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.records.remove(&oldest);
            }
        }
        let record = Record {
            first_at: upstream.clone(),
            second_at: None,
            last: now,
        };
        self.records.insert(fingerprint, record);
    }

    fn remove_expired(&mut self, now: Timestamp) {
        self.records
            .retain(|_, record| now.since(record.last) < FAILURE_RETENTION);
    }
}
