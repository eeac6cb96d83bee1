//! Settings of the decision logic, combined.

use super::claims::ClaimSettings;
use super::control::ControlSettings;
use super::learning::LearningSettings;
use super::lease::LeaseSettings;
use super::membership::MembershipSettings;
use super::reader::Reader;
use super::router::RouterSettings;

/// Settings of the decision logic, one member per section of the settings file.
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
    /// Reads all sections of the decision logic; problems are collected in `reader`.
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
