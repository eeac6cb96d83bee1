//! Configurations of one model and one plain service, of a chosen size.

use std::collections::BTreeMap;

use shalehinge::core::objects::{
    CustomerConfig, FleetConfig, ModelProfile, RequestKind, RouteConfig, ServiceConfig,
    WeightedService,
};
use shalehinge::core::routes::model_of_service;
use shalehinge::core::types::{Customer, ModelName, ServiceName};

/// The model that all groups serve.
pub fn model() -> ModelName {
    model_of_service(&ServiceName::new("engines"), "lector")
}

/// A configuration with `routes` routes to one plain service.
pub fn fleet_config(routes: usize) -> FleetConfig {
    let plain = ServiceConfig {
        path_prefix: String::new(),
        upstreams: Vec::new(),
        not_repeatable: Vec::new(),
        is_listed: true,
    };
    let profile = ModelProfile {
        service: ServiceName::new("engines"),
        hosts_per_replica: 1,
        work_share: 1.0,
        pace: 1.0,
        slots: 30,
        times: None,
        load_seconds: None,
    };
    FleetConfig {
        services: BTreeMap::from([(ServiceName::new("plain"), plain)]),
        profiles: BTreeMap::from([(model(), profile)]),
        routes: (0..routes).map(route).collect(),
        ..FleetConfig::default()
    }
}

fn route(number: usize) -> RouteConfig {
    RouteConfig {
        name: format!("route-{number:06}"),
        host: "lectura.example".to_owned(),
        path_prefix: format!("/readings/{number:06}/"),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        target_latency_ms: 120,
        rank: 2,
        max_attempts: 2,
        is_anonymous: false,
        is_resumable: false,
        backends: vec![WeightedService {
            service: ServiceName::new("plain"),
            weight: 1,
        }],
    }
}

/// The same configuration with one customer that has `keys` API keys.
pub fn with_keys(mut config: FleetConfig, keys: usize) -> FleetConfig {
    let customer = CustomerConfig {
        key_sha256: (0..keys).map(|key| format!("{key:064}")).collect(),
        share: 1,
        rank: None,
    };
    config.customers.insert(Customer::new("one"), customer);
    config
}
