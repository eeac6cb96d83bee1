//! The log line of a routing decision.

use crate::core::types::RequestId;

use super::choose::Choice;
use super::target::{Pending, TargetState};

/// Maximum number of candidates included in a log line.
const MAX_LOGGED_CANDIDATES: usize = 4;

/// Formats the log line of a routing decision.
pub(super) fn decision_line(
    request: RequestId,
    pending: &Pending,
    state: &TargetState,
    choice: &Choice,
    urgency: Option<u8>,
) -> String {
    let chosen = &state.upstreams[choice.index].spec.id;
    let mut line = format!(
        "request {} of {} to {chosen} for {}, attempt {}, {} queued;",
        request.0,
        pending.meta.customer,
        pending.meta.target,
        pending.attempts + 1,
        state.queue.len(),
    );
    if let Some(urgency) = urgency {
        line.push_str(&format!(" urgency {urgency};"));
    }
    for candidate in choice.compared.iter().take(MAX_LOGGED_CANDIDATES) {
        line.push_str(&format!(
            " {} load {:.2} prefix {} score {:.2}",
            candidate.upstream, candidate.load, candidate.prefix_blocks, candidate.score
        ));
    }
    line
}
