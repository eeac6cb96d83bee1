//! Whom a daemon asks for objects that are told whole.
//!
//! Any answer of a peer tells which versions are in force there, but only this question is
//! answered with objects that may be large. It has one peer at a time: answers of several would
//! share the link, and where each takes longer than its limit none would ever be whole.

use super::types::Address;

/// The question for whole objects of one daemon.
#[derive(Clone, Debug, Default)]
pub struct WholeFetch {
    is_open: bool,
    news_from: Option<Address>,
}

impl WholeFetch {
    /// A peer told of a newer version.
    pub fn hear(&mut self, from: Address) {
        self.news_from = Some(from);
    }

    /// The peer to ask now: whoever told last of something newer, if no question is open.
    pub fn begin(&mut self) -> Option<Address> {
        if self.is_open {
            return None;
        }
        let from = self.news_from.take()?;
        self.is_open = true;
        Some(from)
    }

    /// The question was answered or given up.
    pub fn end(&mut self) {
        self.is_open = false;
    }
}
