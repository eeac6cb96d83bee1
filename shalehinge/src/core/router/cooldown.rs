//! Cooldowns that an upstream asked this daemon for.

use std::time::Duration;

use crate::core::signal::RequestedCooldown;
use crate::core::types::Timestamp;

/// A change that operators should see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CooldownChange {
    /// It wants no requests for so long.
    Begins(Duration),
    /// It asks for something that is no time.
    Unreadable(String),
}

/// The cooldown of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Cooldown {
    until: Option<Timestamp>,
    is_unreadable: bool,
}

impl Cooldown {
    /// When it ends, if it was not seen to end yet.
    pub fn until(&self) -> Option<Timestamp> {
        self.until
    }

    /// An answer came that asks for this. One that asks for less ends no cooldown early: answers
    /// overtake one another, and each counts for its own time.
    pub fn on_requested(
        &mut self,
        now: Timestamp,
        requested: &RequestedCooldown,
    ) -> Option<CooldownChange> {
        match requested {
            RequestedCooldown::None => None,
            RequestedCooldown::For(time) => {
                self.is_unreadable = false;
                let began = self.until.is_none() && !time.is_zero();
                self.until = self.until.max(Some(now + *time));
                began.then_some(CooldownChange::Begins(*time))
            }
            RequestedCooldown::Unreadable(text) => {
                let was_unreadable = std::mem::replace(&mut self.is_unreadable, true);
                (!was_unreadable).then(|| CooldownChange::Unreadable(text.clone()))
            }
        }
    }

    /// Whether it ended since this was last asked.
    pub fn take_end(&mut self, now: Timestamp) -> bool {
        let has_ended = self.until.is_some_and(|until| now >= until);
        if has_ended {
            self.until = None;
        }
        has_ended
    }
}
