//! Settings of the control of a failure domain.

use std::time::Duration;

use super::reader::Reader;

use crate::core::placement::host_choice::HostChoice;

/// Section `[control]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Time between two orders to the same host, and between two probes of a group
    /// that looks incomplete.
    pub order_interval: Duration,
    /// Time between two probes of a group that looks complete.
    pub probe_interval: Duration,
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
            order_interval: Duration::from_millis(250),
            probe_interval: Duration::from_secs(10),
            loss_confirm: Duration::from_secs(1),
            forming_timeout: Duration::from_secs(600),
            retire_grace: Duration::from_secs(2),
            avoid_unreachable: Duration::from_secs(30),
            max_forming: 8,
            choice: HostChoice::default(),
        }
    }
}

impl ControlSettings {
    /// Reads section `[control]`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("control");
        let default = Self::default();
        Self {
            order_interval: section.duration("order_interval", default.order_interval),
            probe_interval: section.duration("probe_interval", default.probe_interval),
            loss_confirm: section.duration("loss_confirm", default.loss_confirm),
            forming_timeout: section.duration("forming_timeout", default.forming_timeout),
            retire_grace: section.duration("retire_grace", default.retire_grace),
            avoid_unreachable: section.duration("avoid_unreachable", default.avoid_unreachable),
            max_forming: section.count("max_forming", default.max_forming),
            choice: section.host_choice("choice", default.choice),
        }
    }
}
