//! The platform as a daemon calls it. Another binding is one more file here.
//!
//! - `http`: JSON over HTTP, as in docs/INTERFACES.md
//! - `store_era`: the era of the store that an answer tells

pub mod http;
pub mod store_era;

use futures_lite::future::Boxed;

use crate::core::platform::{PlatformCall, PlatformResult};

/// Calls the platform. A call that is not answered in time is [`NoAnswer`].
///
/// [`NoAnswer`]: crate::core::platform::NoAnswer
pub trait PlatformClient: Send + Sync {
    /// Makes one call.
    fn call(&self, request: PlatformCall) -> Boxed<PlatformResult>;
}
