//! Settings for the controller of a failure domain.

use std::time::Duration;

use super::reader::Reader;

use crate::core::placement::host_choice::HostChoice;

/// How the members of a group are assembled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Assembly {
    /// Engines assemble the group themselves: rank 0 connects the members and serves once all are
    /// ready.
    #[default]
    Engines,
    /// The controller orders each member to join. The host list reports their progress, and rank 0
    /// serves once it is ordered to open.
    Orders,
}

/// Section `[control]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ControlSettings {
    /// Time between two orders to the same host, and between two probes of a group that appears
    /// incomplete.
    pub order_interval: Duration,
    /// Time between two probes of a group that appears complete.
    pub probe_interval: Duration,
    /// How long a group must appear incomplete before it is suspected: a forming group is then
    /// dissolved, a serving one gets no new requests.
    pub loss_confirm: Duration,
    /// How long a serving group must appear incomplete before it is dissolved, where nothing but
    /// silence shows the loss. Shorter pauses of its hosts dissolve no group.
    pub silence_confirm: Duration,
    /// How long a forming group may go without progress before it is dissolved.
    pub forming_timeout: Duration,
    /// Time between marking a group as retiring and ordering its engine to release it.
    pub retire_grace: Duration,
    /// How long a host that did not respond is excluded from new groups with
    /// [`Assembly::Engines`]. With [`Assembly::Orders`], it is excluded until it responds.
    pub avoid_unreachable: Duration,
    /// Maximum number of groups forming at the same time.
    pub max_forming: usize,
    /// How hosts are chosen for a new group.
    pub choice: HostChoice,
    /// How the members of a group are assembled.
    pub assembly: Assembly,
    /// How long rank 0 may make no progress after the loss of a member before it is considered
    /// broken.
    pub stall: Duration,
    /// Time between two heartbeats of a host to the platform, if the platform maintains the host
    /// list by heartbeats.
    pub host_heartbeat: Duration,
    /// How long a retiring group may take to finish its requests with [`Assembly::Orders`].
    pub retire_within: Duration,
    /// How long after its start a daemon may load weights without rate limit on the fleet's first
    /// start; ends early with the first request.
    pub free_loads_within: Duration,
    /// Fraction of the permitted weight-load rate that the controller uses.
    pub load_share: f64,
    /// Fraction of the hosts that is kept free when replica counts are derived from shares of
    /// work.
    pub spare_share: f64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            order_interval: Duration::from_millis(250),
            probe_interval: Duration::from_secs(10),
            loss_confirm: Duration::from_secs(1),
            silence_confirm: Duration::from_millis(2_500),
            forming_timeout: Duration::from_secs(600),
            retire_grace: Duration::from_secs(2),
            avoid_unreachable: Duration::from_secs(30),
            max_forming: 8,
            choice: HostChoice::default(),
            assembly: Assembly::default(),
            stall: Duration::from_millis(5_500),
            host_heartbeat: Duration::from_millis(1_200),
            retire_within: Duration::from_secs(10),
            free_loads_within: Duration::from_secs(6),
            load_share: 0.9,
            spare_share: 0.0,
        }
    }
}

impl ControlSettings {
    /// Reads section `[control]`; problems are collected in `reader`.
    pub fn read(reader: &mut Reader) -> Self {
        let mut section = reader.section("control");
        let default = Self::default();
        Self {
            order_interval: section.duration("order_interval", default.order_interval),
            probe_interval: section.duration("probe_interval", default.probe_interval),
            loss_confirm: section.duration("loss_confirm", default.loss_confirm),
            silence_confirm: section.duration("silence_confirm", default.silence_confirm),
            forming_timeout: section.duration("forming_timeout", default.forming_timeout),
            retire_grace: section.duration("retire_grace", default.retire_grace),
            avoid_unreachable: section.duration("avoid_unreachable", default.avoid_unreachable),
            max_forming: section.count("max_forming", default.max_forming),
            choice: section.host_choice("choice", default.choice),
            assembly: section.assembly("assembly", default.assembly),
            stall: section.duration("stall", default.stall),
            host_heartbeat: section.duration("host_heartbeat", default.host_heartbeat),
            retire_within: section.duration("retire_within", default.retire_within),
            free_loads_within: section.duration("free_loads_within", default.free_loads_within),
            spare_share: section.proportion("spare_share", default.spare_share),
            load_share: section.proportion("load_share", default.load_share),
        }
    }
}
