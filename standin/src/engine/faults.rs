//! Faults and upstream signals that can be injected into a stand-in engine.

use serde::{Deserialize, Serialize};

/// Fault or upstream signal that an engine currently shows; set with `PUT /admin/fault`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Answers normally.
    #[default]
    None,
    /// Answers with status 200 and a body that is not valid JSON.
    Garbage,
    /// Answers with the attempt ID of another attempt.
    OtherAttempt,
    /// Ends streams without the `[DONE]` event.
    CutStream,
    /// Sends another event after `[DONE]`.
    SendMore,
    /// Accepts requests and never answers.
    Silent,
    /// Answers every request with status 500.
    Failing,
    /// Answers normally, with a header that states the request rate it accepts from all daemons
    /// together.
    NamesLimit {
        /// Rate limit, in tenths of a request per second.
        tenths_a_second: u32,
    },
    /// Rejects every request as not run, with a `Retry-After` header.
    AsksForCooldown {
        /// Requested cooldown, in tenths of a second.
        tenths: u32,
    },
    /// Answers normally, with a header that announces that it is leaving.
    SaysLeaving,
}
