//! Which free hosts form a new group.
//!
//! Best fit over fabric domains: the group goes where it strands the fewest
//! hosts, and, as far as the fleet weighs downtime, where a spare host remains
//! beside it. Hosts that already hold the weights come first.

use std::collections::{BTreeMap, BTreeSet};

use crate::core::objects::{Member, PlacementWeights};
use crate::core::types::{FabricDomain, HostId};

use super::stranded::stranded_hosts;

/// How hosts are chosen. `FirstFit` is the baseline of the measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostChoice {
    /// The fabric domain that strands least, by the fleet's weights.
    #[default]
    BestFit,
    /// The first fabric domain with enough hosts, hosts by name.
    FirstFit,
}

/// A host that a group may be formed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FreeHost {
    /// The host; its name and address.
    pub host: HostId,
    /// Where its engine listens.
    pub address: std::net::SocketAddr,
    /// Whether it holds weights of the wanted version already.
    pub warm: bool,
}

/// Free hosts by fabric domain.
pub type FreeHosts = BTreeMap<FabricDomain, Vec<FreeHost>>;

/// What the choice depends on besides the free hosts.
#[derive(Clone, Debug)]
pub struct ChoiceInput<'a> {
    /// Hosts that the group needs.
    pub size: usize,
    /// Sizes of all groups that the intents ask for.
    pub sizes: &'a BTreeSet<usize>,
    /// Weights of the fleet.
    pub weights: PlacementWeights,
    /// How to choose.
    pub choice: HostChoice,
    /// Members that may lack the weights.
    pub max_loads: usize,
}

/// A chosen group: members by rank, and how many of them must load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenHosts {
    /// Members by rank.
    pub members: Vec<Member>,
    /// Members that don't hold the weights yet.
    pub loads: u32,
}

/// Takes hosts for one group out of `free`; `None` if no fabric domain has enough.
pub fn take_hosts(free: &mut FreeHosts, input: &ChoiceInput<'_>) -> Option<ChosenHosts> {
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
        // A stable sort: warm hosts first, each part by name as before.
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

/// Cost of taking a group from these free hosts; lower is better.
fn cost(hosts: &[FreeHost], input: &ChoiceInput<'_>) -> f64 {
    // What one missing spare costs against one stranded host, both in the
    // fleet's weights: a group that loses a member waits, spare or not, for
    // a load; without a spare it waits for a repair.
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
