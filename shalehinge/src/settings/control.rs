//! Settings of the control of a failure domain.

use std::time::Duration;

use crate::core::placement::host_choice::HostChoice;

/// Section `[control]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Time between two orders to the same host, and between two probes of a group.
    pub order_interval: Duration,
    /// How long a serving group must look incomplete before it is dissolved.
    pub loss_confirm: Duration,
    /// How long a forming group may take, without any progress, before it is dissolved.
    pub forming_timeout: Duration,
    /// Time between the mark that a group retires and the order to its engine.
    pub retire_grace: Duration,
    /// How long a host that did not answer is left out of new groups.
    pub avoid_unreachable: Duration,
    /// Groups that may be forming at a time.
    pub max_forming: usize,
    /// How hosts are chosen for a new group.
    pub choice: HostChoice,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            order_interval: Duration::from_secs(1),
            loss_confirm: Duration::from_millis(1_500),
            forming_timeout: Duration::from_secs(600),
            retire_grace: Duration::from_secs(2),
            avoid_unreachable: Duration::from_secs(30),
            max_forming: 8,
            choice: HostChoice::default(),
        }
    }
}
