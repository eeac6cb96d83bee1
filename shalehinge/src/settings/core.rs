//! The settings of a daemon's decisions, all parts together.

use super::claims::ClaimSettings;
use super::control::ControlSettings;
use super::learning::LearningSettings;
use super::lease::LeaseSettings;
use super::membership::MembershipSettings;
use super::reader::Reader;
use super::router::RouterSettings;

/// One struct a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreSettings {
    /// Section `[learning]`.
    pub learning: LearningSettings,
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

impl CoreSettings {
    /// Reads the sections of all parts.
    pub fn read(reader: &mut Reader) -> Self {
        Self {
            learning: LearningSettings::read(reader),
            lease: LeaseSettings::read(reader),
            membership: MembershipSettings::read(reader),
            control: ControlSettings::read(reader),
            claims: ClaimSettings::read(reader),
            router: RouterSettings::read(reader),
        }
    }
}
