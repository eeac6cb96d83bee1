//! The platform's object API as the daemon calls it. Each protocol binding is a module here.
//!
//! - `http`: JSON over HTTP, as specified in docs/INTERFACES.md
//! - `store_era`: reads the store era from response headers

pub mod http;
pub mod store_era;

use futures_lite::future::Boxed;

use crate::core::platform::{PlatformCall, PlatformResult};

/// A client of the platform. A call that fails or times out results in [`NoAnswer`].
///
/// [`NoAnswer`]: crate::core::platform::NoAnswer
pub trait PlatformClient: Send + Sync {
    /// Makes one call and returns its result.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] if no valid response came in time; a write may have taken effect nevertheless.
    ///
    /// [`NoAnswer`]: crate::core::platform::NoAnswer
    fn call(&self, request: PlatformCall) -> Boxed<PlatformResult>;

    /// Returns how many objects of other programs were rejected since the last call.
    fn take_rejected_entries(&self) -> u64 {
        0
    }
}
