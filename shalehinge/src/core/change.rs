//! Configuration changes that operators request, and how each is applied.

use serde::{Deserialize, Serialize};

use super::objects::{FleetConfig, HostList, ModelIntent, PlacementWeights};
use super::placement::divide::{capacity, divide};
use super::types::{Customer, FailureDomain, HostId, ModelName, ModelVersion};

/// Maximum number of hosts per replica.
pub const MAX_HOSTS_PER_REPLICA: u32 = 32;

/// A configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Serve a model with a number of replicas, charged to a customer's share.
    Intent {
        /// Name of the model.
        model: ModelName,
        /// Version that its replicas run.
        version: ModelVersion,
        /// Number of replicas over all failure domains.
        replicas: u32,
        /// Number of hosts per replica, 1 to [`MAX_HOSTS_PER_REPLICA`].
        hosts_per_replica: u32,
        /// Customer whose share of the accelerators the hosts count against.
        owner: Customer,
    },
    /// Stop serving a model.
    Remove {
        /// Name of the model.
        model: ModelName,
    },
    /// Change a customer's share.
    Share {
        /// Name of the customer.
        customer: Customer,
        /// Weight of the customer relative to the others, at least 1.
        share: u32,
    },
    /// Roll all replicas of a model to a version.
    Roll {
        /// Name of the model.
        model: ModelName,
        /// Version that its replicas run.
        version: ModelVersion,
    },
    /// Drain a host, to take it out of use.
    Drain {
        /// Name of the host.
        host: HostId,
    },
    /// End the draining of a host.
    Undrain {
        /// Name of the host.
        host: HostId,
    },
    /// Evacuate a failure domain: its upstreams get no requests, and no groups are formed there.
    Evacuate {
        /// Name of the failure domain.
        domain: FailureDomain,
    },
    /// End the evacuation of a failure domain.
    Restore {
        /// Name of the failure domain.
        domain: FailureDomain,
    },
    /// Replace customers, services and placement weights; models and drained hosts stay as they
    /// are.
    Configure(Box<Configuration>),
}

/// The part of the configuration that operators provide as a file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Customers by name.
    pub customers: std::collections::BTreeMap<Customer, super::objects::CustomerConfig>,
    /// Plain services by name.
    #[serde(default)]
    pub services:
        std::collections::BTreeMap<super::types::ServiceName, super::objects::ServiceConfig>,
    /// Weights of the placement objectives.
    #[serde(default)]
    pub weights: PlacementWeights,
}

/// Why a change can't be planned. Most messages say what the operator can do about it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum ChangeError {
    /// The model is not in the configuration.
    #[error("there is no model {0}; create it with an intent first")]
    UnknownModel(ModelName),
    /// The customer is not in the configuration.
    #[error("there is no customer {0}; add it to the configuration first")]
    UnknownCustomer(Customer),
    /// The host is not in the platform's list.
    #[error("the platform lists no host {0}; see `shalehinge status` for its hosts")]
    UnknownHost(HostId),
    /// No listed host is in the failure domain.
    #[error("the platform lists no host in {0}; see `shalehinge status` for the failure domains")]
    UnknownDomain(FailureDomain),
    /// The failure domain is not evacuated.
    #[error("{0} is not evacuated; see `shalehinge status` for the evacuated failure domains")]
    NotEvacuated(FailureDomain),
    /// The number of hosts per replica is out of range.
    #[error("a replica must span 1 to {MAX_HOSTS_PER_REPLICA} hosts, not {0}")]
    HostsPerReplica(u32),
    /// A share is 0.
    #[error("a share must be at least 1")]
    ZeroShare,
    /// The path prefix of a service doesn't start with a slash, is `/`, or is below `/v1/`.
    #[error("the path {0:?} of a service must start with '/' and must not be below /v1/")]
    ServicePath(String),
    /// A key hash is not a SHA-256 in hexadecimal. Its text is not repeated, as it may be the key.
    #[error(
        "entry {position} of key_sha256 of customer {customer} is not a SHA-256 in 64 hexadecimal digits; create one with `sha256sum`"
    )]
    KeyHash {
        /// The customer whose entry it is.
        customer: Customer,
        /// Number of the entry, from 1.
        position: usize,
    },
}

impl Change {
    /// Returns the configuration after the change, or why the change is invalid.
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
                let customer_config = changed.customers.get_mut(customer);
                customer_config
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
            Self::Evacuate { domain } => {
                let mut known = hosts.hosts.values().map(|host| &host.failure_domain);
                if !known.any(|known| known == domain) {
                    return Err(ChangeError::UnknownDomain(domain.clone()));
                }
                changed.evacuated.insert(domain.clone());
            }
            Self::Restore { domain } => {
                if !changed.evacuated.remove(domain) {
                    return Err(ChangeError::NotEvacuated(domain.clone()));
                }
            }
            Self::Configure(configuration) => {
                configuration.validate()?;
                changed.customers = configuration.customers.clone();
                changed.services = configuration.services.clone();
                changed.weights = configuration.weights;
            }
        }
        Ok(changed)
    }
}

impl Configuration {
    fn validate(&self) -> Result<(), ChangeError> {
        for (name, customer) in &self.customers {
            if customer.share == 0 {
                return Err(ChangeError::ZeroShare);
            }
            for (index, hash) in customer.key_sha256.iter().enumerate() {
                let is_sha256_hex = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
                if !is_sha256_hex {
                    return Err(ChangeError::KeyHash {
                        customer: name.clone(),
                        position: index + 1,
                    });
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
