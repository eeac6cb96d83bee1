//! Selection of the free hosts that form a new group.
//!
//! Best fit over fabric domains: a group is placed where it strands the fewest hosts and,
//! depending on the configured weight of downtime, where a spare host remains in the same fabric
//! domain. Hosts that already hold the weights are preferred.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::objects::{Member, PlacementWeights};
use crate::core::types::{FabricDomain, HostId};

use super::stranded::stranded_hosts;

/// Strategy for selecting hosts. `FirstFit` is the baseline for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostChoice {
    /// The fabric domain with the lowest cost by the fleet's placement weights.
    #[default]
    BestFit,
    /// The first fabric domain with enough hosts; hosts in name order.
    FirstFit,
}

/// A host that is available for new groups.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FreeHost {
    /// Host identifier.
    pub host: HostId,
    /// Address on which its engine listens.
    pub address: std::net::SocketAddr,
    /// Whether the host already holds the weights of the wanted version.
    pub warm: bool,
}

/// Free hosts by fabric domain.
pub type FreeHosts = BTreeMap<FabricDomain, Vec<FreeHost>>;

/// Inputs of the selection besides the free hosts.
#[derive(Clone, Debug)]
pub struct ChoiceInput<'a> {
    /// Number of hosts in the group.
    pub size: usize,
    /// Sizes of all groups that the intents ask for, in hosts.
    pub sizes: &'a BTreeSet<usize>,
    /// Placement weights of the fleet.
    pub weights: PlacementWeights,
    /// Selection strategy.
    pub choice: HostChoice,
    /// Maximum number of members that do not hold the weights yet.
    pub max_loads: usize,
}

/// Members selected for a group, and how many of them must load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenHosts {
    /// Members in rank order.
    pub members: Vec<Member>,
    /// Number of members that must load the weights first.
    pub loads: u32,
}

/// Removes the hosts of one group from `free`. Returns `None` if no fabric domain has enough
/// suitable hosts.
pub fn take_hosts(free: &mut FreeHosts, input: &ChoiceInput<'_>) -> Option<ChosenHosts> {
    if input.size == 0 {
        return None;
    }
    let warm_needed = input.size.saturating_sub(input.max_loads);
    let candidates = free.iter().filter(|(_, hosts)| {
        let warm = hosts.iter().filter(|host| host.warm).count();
        hosts.len() >= input.size && warm >= warm_needed
    });
    let fabric = match input.choice {
        HostChoice::FirstFit => candidates.map(|(fabric, _)| fabric).next(),
        HostChoice::BestFit => candidates
            .min_by(|(_, a), (_, b)| cost(a, input).total_cmp(&cost(b, input)))
            .map(|(fabric, _)| fabric),
    }?
    .clone();
    let hosts = free.get_mut(&fabric)?;
    if input.choice == HostChoice::BestFit {
        // The sort is stable: warm hosts first, each part still in name order.
        hosts.sort_by_key(|host| !host.warm);
    }
    let chosen: Vec<FreeHost> = hosts.drain(..input.size).collect();
    hosts.sort();
    let loads = chosen.iter().filter(|host| !host.warm).count() as u32;
    let members = chosen.into_iter().map(into_member).collect();
    Some(ChosenHosts { members, loads })
}

fn into_member(host: FreeHost) -> Member {
    Member {
        host: host.host,
        address: host.address,
    }
}

/// Cost of placing a group on these free hosts; lower is better.
fn cost(hosts: &[FreeHost], input: &ChoiceInput<'_>) -> f64 {
    // Stranded hosts and a missing spare are weighed by the fleet's placement weights: a group
    // that loses a member waits for a load in any case, and for a repair as well if there is no
    // spare. Loads and remaining hosts only decide between otherwise similar places.
    const LOAD_COST: f64 = 0.05;
    const TIE_BREAK: f64 = 1e-6;
    let before = stranded_hosts(hosts.len(), input.sizes) as f64;
    let left = hosts.len() - input.size;
    let after = stranded_hosts(left, input.sizes) as f64;
    let stranded = input.weights.stranded_accelerators * (after - before);
    let no_spare = if left == 0 { 1.0 } else { 0.0 };
    let downtime = input.weights.group_downtime * no_spare;
    let warm = hosts.iter().filter(|host| host.warm).count();
    let loads = input.size.saturating_sub(warm) as f64;
    stranded + downtime + LOAD_COST * loads + TIE_BREAK * left as f64
}
