//! The settings of a daemon's decisions, all parts together.

use super::claims::ClaimSettings;
use super::control::ControlSettings;
use super::router::RouterSettings;
use crate::core::lease::LeaseSettings;
use crate::core::membership::MembershipSettings;

/// One struct a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreSettings {
    /// Section `[lease]`.
    pub lease: LeaseSettings,
    /// Section `[membership]`.
    pub membership: MembershipSettings,
    /// Section `[control]`.
    pub control: ControlSettings,
    /// Section `[claims]`.
    pub claims: ClaimSettings,
    /// Section `[router]`.
    pub router: RouterSettings,
}
