//! What the router learns of requests that may crash their upstreams, and tells of them.

use std::time::Duration;

use crate::core::fingerprint::Fingerprint;
use crate::core::types::{RequestId, Timestamp};

use super::dispatch::{Router, RouterAction};
use super::quarantine::{Completion, Loss, QuarantineNews, Quarantined};
use super::request::{AttemptEnd, UpstreamId};

impl Router {
    /// How long a request is still refused, if it is quarantined.
    pub fn quarantined_for(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Duration> {
        self.quarantine.time_left(now, fingerprint, &self.settings)
    }

    /// All requests that are quarantined.
    pub fn quarantined(&self, now: Timestamp) -> impl Iterator<Item = Quarantined> {
        self.quarantine.all(now, &self.settings)
    }

    /// Learns from the end of an attempt. One that was refused or not sent shows nothing, and
    /// one that stood still shows a lost member rather than a crash.
    pub(super) fn learn_from(
        &mut self,
        now: Timestamp,
        request: RequestId,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
        end: AttemptEnd,
        out: &mut Vec<RouterAction>,
    ) {
        match end {
            AttemptEnd::Lost => {
                out.push(RouterAction::Log(format!(
                    "request {} broke off at {upstream}, asks {fingerprint}",
                    request.0
                )));
                let loss = Loss {
                    fingerprint,
                    upstream: upstream.clone(),
                    at: now,
                };
                if self.quarantine.note_loss(loss, &self.settings) {
                    out.push(quarantined(fingerprint));
                }
            }
            AttemptEnd::Completed { .. } | AttemptEnd::Failed { .. } => {
                let completion = Completion {
                    fingerprint,
                    at: now,
                };
                if self.quarantine.note_completion(completion) {
                    out.push(no_longer_quarantined(fingerprint));
                }
            }
            AttemptEnd::NotSent | AttemptEnd::Refused | AttemptEnd::WrongAnswer => {}
        }
    }

    /// Takes in what another daemon tells.
    pub fn learn_quarantine(&mut self, news: QuarantineNews, out: &mut Vec<RouterAction>) {
        for completion in news.completions {
            if self.quarantine.learn_completion(completion) {
                out.push(no_longer_quarantined(completion.fingerprint));
            }
        }
        for held in news.quarantined {
            if self.quarantine.learn_quarantined(held) {
                out.push(quarantined(held.fingerprint));
            }
        }
        for loss in news.losses {
            let fingerprint = loss.fingerprint;
            if self.quarantine.learn_loss(loss, &self.settings) {
                out.push(quarantined(fingerprint));
            }
        }
    }

    /// What other daemons should be told, once.
    pub fn take_quarantine_news(&mut self, now: Timestamp) -> QuarantineNews {
        self.quarantine.forget_old(now, &self.settings);
        self.quarantine.take_news()
    }
}

fn quarantined(fingerprint: Fingerprint) -> RouterAction {
    RouterAction::Log(format!(
        "quarantines what asks {fingerprint}: it was lost at several upstreams and completed at none"
    ))
}

fn no_longer_quarantined(fingerprint: Fingerprint) -> RouterAction {
    RouterAction::Log(format!(
        "what asks {fingerprint} is no longer quarantined: an upstream answered it"
    ))
}
