//! Cancels a request when whoever waits for its response is gone.

use std::sync::Arc;

use super::Driver;
use crate::core::event::Event;
use crate::core::types::RequestId;

/// When dropped, reports to the core that the caller disconnected, unless it was disarmed
/// because the response was complete.
pub struct DisconnectGuard {
    driver: Arc<Driver>,
    request: RequestId,
    is_armed: bool,
}

impl DisconnectGuard {
    /// Creates an armed guard for a request that is to be cancelled when its caller disconnects.
    pub fn new(driver: Arc<Driver>, request: RequestId) -> Self {
        Self {
            driver,
            request,
            is_armed: true,
        }
    }

    /// Creates a guard that does nothing.
    pub fn disarmed(driver: Arc<Driver>, request: RequestId) -> Self {
        Self {
            driver,
            request,
            is_armed: false,
        }
    }

    /// Disarms the guard, as the request has its response.
    pub fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.driver.dispatch(Event::CallerLeft(self.request));
        }
    }
}
