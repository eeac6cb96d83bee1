//! Matching of relayed requests to routes, and of API keys to customers.
//!
//! The table is built once for each configuration, so that a request costs only two map lookups.

use std::collections::HashMap;

use super::objects::{CallerLimits, FleetConfig, RequestKind, RouteConfig};
use super::types::{Customer, FleetVersion, ModelName, ServiceName};

/// The routes and API keys of one configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: FleetVersion,
    // Accessed by key only: no decision may depend on the iteration order of a `HashMap`.
    routes_by_host: HashMap<String, Vec<RouteConfig>>,
    holders_by_key: HashMap<String, KeyHolder>,
    requires_keys: bool,
    limits: Option<CallerLimits>,
}

/// The customer that an API key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the customer.
    pub customer: Customer,
    /// Priority rank of its requests, if the customer has one of its own.
    pub rank: Option<u8>,
}

/// Properties of a request that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Host name in the request; a port is ignored.
    pub host: &'a str,
    /// Path without the query string.
    pub path: &'a str,
    /// SHA-256 of the caller's API key in lower-case hexadecimal, if it sent one.
    pub key_sha256: Option<&'a str>,
    /// Number derived from the request that selects one of the route's services by weight.
    pub split_key: u64,
}

/// The route and service that a request was matched to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// The route's configuration.
    pub route: RouteConfig,
    /// The service selected among those of the route.
    pub service: ServiceName,
    /// The customer; `None` if no known key was sent.
    pub holder: Option<KeyHolder>,
}

impl RouteMatch {
    /// Whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RequestKind::Repeatable => true,
            RequestKind::NotRepeatable => false,
            RequestKind::Stream => self.route.is_resumable,
        }
    }

    /// Priority rank of the request: the customer's rank, or else that of the route.
    pub fn rank(&self) -> u8 {
        let customer_rank = self.holder.as_ref().and_then(|holder| holder.rank);
        customer_rank.unwrap_or(self.route.rank)
    }
}

/// Why a request was not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No route matches host and path, or the matching route has no service.
    UnknownRoute,
    /// The route requires an API key, but none was sent or no customer has it.
    UnknownKey,
    /// No configuration is known yet, or the known one may be out of date.
    NotReady,
}

/// The fleet-wide name of a model of a service: `service/model`.
pub fn model_of_service(service: &ServiceName, model: &str) -> ModelName {
    ModelName::new(&format!("{service}/{model}"))
}

impl RouteTable {
    /// Builds the table of a configuration.
    pub fn new(version: FleetVersion, fleet: &FleetConfig) -> Self {
        let mut routes_by_host: HashMap<String, Vec<RouteConfig>> = HashMap::new();
        for route in &fleet.routes {
            let routes = routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default();
            routes.push(route.clone());
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut holders_by_key = HashMap::new();
        for (customer, config) in &fleet.customers {
            for key in &config.key_sha256 {
                let holder = KeyHolder {
                    customer: customer.clone(),
                    rank: config.rank,
                };
                holders_by_key.insert(key.to_ascii_lowercase(), holder);
            }
        }
        Self {
            version,
            routes_by_host,
            holders_by_key,
            requires_keys: fleet.admits_no_customer || !fleet.customers.is_empty(),
            limits: fleet.caller_limits,
        }
    }

    /// Version of the configuration that the table was built from.
    pub fn version(&self) -> FleetVersion {
        self.version
    }

    /// Limits on relayed requests, if the configuration sets them.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// The customer that an API key belongs to. The key is given by its SHA-256 in lower-case
    /// hexadecimal.
    pub fn holder(&self, key_sha256: &str) -> Option<&KeyHolder> {
        self.holders_by_key.get(key_sha256)
    }

    /// Matches a request to a route and one of its services.
    pub fn find(&self, query: RouteQuery<'_>) -> Result<RouteMatch, RouteRefusal> {
        let route = self.route(query.host, query.path);
        let route = route.ok_or(RouteRefusal::UnknownRoute)?;
        let holder = query.key_sha256.and_then(|key| self.holder(key));
        let requires_key = self.requires_keys && !route.is_anonymous;
        if requires_key && holder.is_none() {
            return Err(RouteRefusal::UnknownKey);
        }
        let service = select_backend(route, query.split_key).ok_or(RouteRefusal::UnknownRoute)?;
        Ok(RouteMatch {
            service: service.clone(),
            route: route.clone(),
            holder: holder.cloned(),
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&RouteConfig> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}

/// Selects a service by weight: `split_key` modulo the sum of all weights decides. With a sum of
/// 0 the first service is selected; `None` if the route has no services.
fn select_backend(route: &RouteConfig, split_key: u64) -> Option<&ServiceName> {
    let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    if total == 0 {
        return route.backends.first().map(|backend| &backend.service);
    }
    let mut remaining = split_key % total;
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if remaining < weight {
            return Some(&backend.service);
        }
        remaining -= weight;
    }
    None
}
