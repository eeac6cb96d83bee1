//! Changes that operators ask for, and how each alters the configuration.

use serde::{Deserialize, Serialize};

use super::objects::{FleetConfig, HostList, ModelIntent, PlacementWeights};
use super::placement::divide::{capacity, divide};
use super::types::{Customer, HostId, ModelName, ModelVersion};

/// Most hosts that a replica may span.
pub const MAX_HOSTS_PER_REPLICA: u32 = 32;

/// What an operator wants changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Serve a model with so many replicas, for a customer's share.
    Intent {
        /// The model.
        model: ModelName,
        /// Version to run.
        version: ModelVersion,
        /// Replicas over all failure domains.
        replicas: u32,
        /// Hosts that form one replica.
        hosts_per_replica: u32,
        /// Customer whose share of the hosts they count against.
        owner: Customer,
    },
    /// Serve a model no longer.
    Remove {
        /// The model.
        model: ModelName,
    },
    /// Give a customer another share.
    Share {
        /// The customer.
        customer: Customer,
        /// Its weight against the others.
        share: u32,
    },
    /// Bring all replicas of a model to a version.
    Roll {
        /// The model.
        model: ModelName,
        /// Version to run.
        version: ModelVersion,
    },
    /// Take a host out of use.
    Drain {
        /// The host.
        host: HostId,
    },
    /// Take a host into use again.
    Undrain {
        /// The host.
        host: HostId,
    },
    /// Replace customers, services and weights; models and drains stay.
    Configure(Box<Configuration>),
}

/// The part of the configuration that is written as a file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Customers by name.
    pub customers: std::collections::BTreeMap<Customer, super::objects::CustomerConfig>,
    /// Plain services by name.
    #[serde(default)]
    pub services:
        std::collections::BTreeMap<super::types::ServiceName, super::objects::ServiceConfig>,
    /// Weights of placement.
    #[serde(default)]
    pub weights: PlacementWeights,
}

/// Why a change can't be planned. Each says what to do.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// The model is not in the configuration.
    #[error("there is no model {0}; state an intent for it first")]
    UnknownModel(ModelName),
    /// The customer is not in the configuration.
    #[error("there is no customer {0}; add it to the configuration first")]
    UnknownCustomer(Customer),
    /// The host is not in the platform's list.
    #[error("the platform lists no host {0}; see `shalehinge status` for its hosts")]
    UnknownHost(HostId),
    /// The number of hosts is out of bounds.
    #[error("a replica spans 1 to {MAX_HOSTS_PER_REPLICA} hosts, not {0}")]
    HostsPerReplica(u32),
    /// A share of nothing.
    #[error("a share is at least 1")]
    ZeroShare,
    /// Paths of services must start with a slash.
    #[error("the path {0:?} of a service must start with '/' and must not be below /v1/")]
    ServicePath(String),
    /// A key hash that is none.
    #[error("{0:?} is not a SHA-256 in 64 hexadecimal digits; make one with `sha256sum`")]
    KeyHash(String),
}

impl Change {
    /// The configuration after the change.
    pub fn apply(&self, fleet: &FleetConfig, hosts: &HostList) -> Result<FleetConfig, ChangeError> {
        let mut changed = fleet.clone();
        match self {
            Self::Intent {
                model,
                version,
                replicas,
                hosts_per_replica,
                owner,
            } => {
                if *hosts_per_replica == 0 || *hosts_per_replica > MAX_HOSTS_PER_REPLICA {
                    return Err(ChangeError::HostsPerReplica(*hosts_per_replica));
                }
                if !fleet.customers.contains_key(owner) {
                    return Err(ChangeError::UnknownCustomer(owner.clone()));
                }
                let capacity = capacity(hosts, fleet, model, *hosts_per_replica as usize);
                let intent = ModelIntent {
                    owner: owner.clone(),
                    version: version.clone(),
                    hosts_per_replica: *hosts_per_replica,
                    replicas: divide(*replicas, &capacity),
                };
                changed.models.insert(model.clone(), intent);
            }
            Self::Remove { model } => {
                let removed = changed.models.remove(model);
                removed.ok_or_else(|| ChangeError::UnknownModel(model.clone()))?;
            }
            Self::Share { customer, share } => {
                if *share == 0 {
                    return Err(ChangeError::ZeroShare);
                }
                let entry = changed.customers.get_mut(customer);
                entry
                    .ok_or_else(|| ChangeError::UnknownCustomer(customer.clone()))?
                    .share = *share;
            }
            Self::Roll { model, version } => {
                let intent = changed.models.get_mut(model);
                intent
                    .ok_or_else(|| ChangeError::UnknownModel(model.clone()))?
                    .version = version.clone();
            }
            Self::Drain { host } => {
                if !hosts.hosts.contains_key(host) {
                    return Err(ChangeError::UnknownHost(host.clone()));
                }
                changed.draining.insert(host.clone());
            }
            Self::Undrain { host } => {
                if !changed.draining.remove(host) {
                    return Err(ChangeError::UnknownHost(host.clone()));
                }
            }
            Self::Configure(configuration) => {
                configuration.check()?;
                changed.customers = configuration.customers.clone();
                changed.services = configuration.services.clone();
                changed.weights = configuration.weights;
            }
        }
        Ok(changed)
    }
}

impl Configuration {
    fn check(&self) -> Result<(), ChangeError> {
        for customer in self.customers.values() {
            if customer.share == 0 {
                return Err(ChangeError::ZeroShare);
            }
            for hash in &customer.key_sha256 {
                let is_hash = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
                if !is_hash {
                    return Err(ChangeError::KeyHash(hash.clone()));
                }
            }
        }
        for service in self.services.values() {
            let path = &service.path_prefix;
            if !path.starts_with('/') || path.starts_with("/v1/") || path == "/" {
                return Err(ChangeError::ServicePath(path.clone()));
            }
        }
        Ok(())
    }
}
