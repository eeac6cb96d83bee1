//! Wrong and unusual answers of a stand-in engine, on request.

use serde::{Deserialize, Serialize};

/// What an engine does wrong at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// Answers with bytes that mean nothing.
    Garbage,
    /// Answers under another attempt's id.
    OtherAttempt,
    /// Ends streams without their end mark.
    CutStream,
    /// Sends more after the end of the answer.
    SendMore,
    /// Takes requests and never answers.
    Silent,
    /// Answers every request with an error.
    Failing,
    /// Answers well, and names in each answer how many requests it takes from all daemons.
    NamesLimit {
        /// Tenths of a request a second.
        tenths_a_second: u32,
    },
    /// Runs nothing, and asks in each answer for a cooldown.
    AsksForCooldown {
        /// Tenths of a second.
        tenths: u32,
    },
    /// Answers well, and says in each answer that it is leaving.
    SaysLeaving,
}
