//! Which route a relayed request takes, and whose request it is.
//!
//! Built once for each configuration, so that a request costs two look-ups.

use std::collections::HashMap;

use super::objects::{CallerLimits, FleetConfig, RequestKind, RouteConfig};
use super::types::{Customer, FleetVersion, ModelName, ServiceName};

/// The routes and keys of one configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: FleetVersion,
    // Looked up by key only, never iterated in an order that matters.
    routes_by_host: HashMap<String, Vec<RouteConfig>>,
    holders_by_key: HashMap<String, KeyHolder>,
    requires_keys: bool,
    limits: Option<CallerLimits>,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// The customer.
    pub customer: Customer,
    /// Rank of its requests, if it has one of its own.
    pub rank: Option<u8>,
}

/// What a request must show to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Host that the caller names.
    pub host: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// SHA-256 of the caller's key in hexadecimal, if it sent one.
    pub key_sha256: Option<&'a str>,
    /// A number of the request's own that divides it between services.
    pub split_key: u64,
}

/// Where a request goes, and under which bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// The route's configuration.
    pub route: RouteConfig,
    /// The service chosen among the route's.
    pub service: ServiceName,
    /// The customer; `None` without a key.
    pub holder: Option<KeyHolder>,
}

impl RouteMatch {
    /// Whether running the request twice does no harm.
    pub fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RequestKind::Repeatable => true,
            RequestKind::NotRepeatable => false,
            RequestKind::Stream => self.route.is_resumable,
        }
    }

    /// Rank of the request: the customer's goes before the route's.
    pub fn rank(&self) -> u8 {
        let customer_rank = self.holder.as_ref().and_then(|holder| holder.rank);
        customer_rank.unwrap_or(self.route.rank)
    }
}

/// Why a request is not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// No route fits host and path.
    UnknownRoute,
    /// The route needs a key, and none was sent or nobody holds it.
    UnknownKey,
    /// No configuration is known, or only one that may be out of date.
    NotReady,
}

/// The name under which a model of a service is known in the fleet.
pub fn model_of_service(service: &ServiceName, model: &str) -> ModelName {
    ModelName::new(&format!("{service}/{model}"))
}

impl RouteTable {
    /// The table of a configuration.
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
            requires_keys: !fleet.customers.is_empty(),
            limits: fleet.caller_limits,
        }
    }

    /// Version of the configuration that it was built from.
    pub fn version(&self) -> FleetVersion {
        self.version
    }

    /// Bounds of the configuration, if it has some.
    pub fn limits(&self) -> Option<CallerLimits> {
        self.limits
    }

    /// Who holds a key.
    pub fn holder(&self, key_sha256: &str) -> Option<&KeyHolder> {
        self.holders_by_key.get(key_sha256)
    }

    /// Where a request goes.
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

/// The service that this number falls to, by the weights.
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
