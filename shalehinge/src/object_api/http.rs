//! Client of the platform's object API, in JSON over HTTP. See docs/INTERFACES.md.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::Boxed;
use serde::de::Error as _;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trillium_client::Client;

use super::PlatformClient;
use super::store_era::exchange_with_era;
use crate::core::bounds::CheckBounds;
use crate::core::fleet_state::ObjectUpdate;
use crate::core::objects::{Object, ObjectKey, Versioned};
use crate::core::platform::{
    EraScope, NoAnswer, PlatformCall, PlatformReply, PlatformResult, Scope,
};
use crate::core::types::{FailureDomain, StoreEra, Version};
use crate::utils::http::{ResponseTimeouts, pooled_client, url};

/// Response header that carries the store era. Without it, the era counts as unreported.
pub const ERA_HEADER: &str = "x-shalehinge-era";
/// Comma-separated kinds of the objects that are listed and watched together.
pub const SHARED_KINDS: &str = "config,hosts,assignments";

/// An object in its wire format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireObject {
    /// Kind, such as `config` or `assignments`.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Version of the object, starting at 1.
    pub version: u64,
    /// Value; its schema depends on the kind.
    pub value: Value,
}

/// Response to a list or a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireList {
    /// Revision of the store as a whole.
    pub revision: u64,
    /// All objects for a list; the changed ones for a watch.
    pub objects: Vec<WireObject>,
}

/// Response to a write, whether it was accepted or rejected.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireVersion {
    /// Current version of the object; 0 if it does not exist.
    pub version: u64,
}

/// Returns the kind and name under which the API stores an object.
pub fn kind_and_name(key: &ObjectKey) -> (&'static str, String) {
    match key {
        ObjectKey::Fleet => ("config", "fleet".into()),
        ObjectKey::Hosts => ("hosts", "all".into()),
        ObjectKey::Assignment(domain) => ("assignments", domain.to_string()),
        ObjectKey::Lease(domain) => ("leases", domain.to_string()),
        ObjectKey::Claims(partition) => ("claims", partition.to_string()),
        ObjectKey::Evacuations => ("evacuations", "all".to_owned()),
    }
}

/// Returns the key for a kind and name, or `None` for an object that the daemon does not use.
fn parse_key(kind: &str, name: &str) -> Option<ObjectKey> {
    match (kind, name) {
        ("config", "fleet") => Some(ObjectKey::Fleet),
        ("hosts", "all") => Some(ObjectKey::Hosts),
        ("assignments", domain) => Some(ObjectKey::Assignment(FailureDomain::new(domain))),
        ("leases", domain) => Some(ObjectKey::Lease(FailureDomain::new(domain))),
        ("claims", partition) => partition.parse().ok().map(ObjectKey::Claims),
        ("evacuations", "all") => Some(ObjectKey::Evacuations),
        _ => None,
    }
}

fn decode(key: &ObjectKey, value: Value) -> serde_json::Result<Object> {
    let object = match key {
        ObjectKey::Fleet => Object::Fleet(serde_json::from_value(value)?),
        ObjectKey::Hosts => Object::Hosts(serde_json::from_value(value)?),
        ObjectKey::Assignment(_) => Object::Assignment(serde_json::from_value(value)?),
        ObjectKey::Lease(_) => Object::Lease(serde_json::from_value(value)?),
        ObjectKey::Claims(_) => Object::Claims(serde_json::from_value(value)?),
        ObjectKey::Evacuations => Object::Evacuations(serde_json::from_value(value)?),
    };
    object.check_bounds().map_err(serde_json::Error::custom)?;
    Ok(object)
}

fn encode(object: &Object) -> serde_json::Result<Vec<u8>> {
    match object {
        Object::Fleet(value) => serde_json::to_vec(value),
        Object::Hosts(value) | Object::RoutableHosts(value) => serde_json::to_vec(value),
        Object::RoutableChanges(value) => serde_json::to_vec(value),
        Object::HostChanges(value) => serde_json::to_vec(value),
        Object::Assignment(value) => serde_json::to_vec(value),
        Object::Lease(value) => serde_json::to_vec(value),
        Object::Claims(value) => serde_json::to_vec(value),
        Object::Evacuations(value) => serde_json::to_vec(value),
        Object::EvacuationChanges(value) => serde_json::to_vec(value),
        Object::KnownEvacuations(value) => serde_json::to_vec(value),
    }
}

/// HTTP client of the object API.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client for `address`. Calls time out after `timeout`; a watch after its own wait
    /// plus `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: pooled_client(),
            address,
            timeout,
        }
    }

    fn object_url(&self, key: &ObjectKey) -> String {
        let (kind, name) = kind_and_name(key);
        url(self.address, &format!("/v1/objects/{kind}/{name}"))
    }

    /// Reads one object. A value that can't be decoded is reported as `Foreign` if daemons own the
    /// object, so that it can be overwritten, and as no answer otherwise.
    async fn get(&self, key: ObjectKey) -> PlatformResult {
        let conn = self.client.get(self.object_url(&key));
        let limits = ResponseTimeouts::uniform(self.timeout);
        let (era, answer) = exchange_with_era(conn, limits, ERA_HEADER).await?;
        match answer.status {
            200 => {
                let wire: WireObject = parse(&answer.body)?;
                let version = Version::new(era, wire.version);
                match decode(&key, wire.value).map_err(|_| undecodable(&key)) {
                    Ok(value) => Ok(PlatformReply::Object(Box::new(Versioned {
                        version,
                        value,
                    }))),
                    Err(_) if key.is_written_by_daemons() => Ok(PlatformReply::Foreign(version)),
                    Err(error) => Err(error),
                }
            }
            404 => Ok(PlatformReply::Missing(era)),
            _ => Err(NoAnswer),
        }
    }

    async fn put(&self, key: ObjectKey, expect: Version, object: Object) -> PlatformResult {
        let mut url = format!("{}?expect={}", self.object_url(&key), expect.number);
        if let Some(era) = expect.era.number() {
            url.push_str(&format!("&era={era}"));
        }
        let body = encode(&object).map_err(|_| NoAnswer)?;
        let conn = self.client.put(url).with_body(body);
        let limits = ResponseTimeouts::uniform(self.timeout);
        let (era, answer) = exchange_with_era(conn, limits, ERA_HEADER).await?;
        match answer.status {
            200 => {
                let wire: WireVersion = parse(&answer.body)?;
                Ok(PlatformReply::Written(Version::new(era, wire.version)))
            }
            409 => Ok(PlatformReply::Conflict(era)),
            _ => Err(NoAnswer),
        }
    }

    async fn list_objects(&self, path: String, head: Duration) -> PlatformResult {
        let conn = self.client.get(url(self.address, &path));
        let limits = ResponseTimeouts::for_large_response(head, self.timeout);
        let (era, answer) = exchange_with_era(conn, limits, ERA_HEADER).await?;
        match answer.status {
            200 => {
                let wire: WireList = parse(&answer.body)?;
                let objects = wire.objects.into_iter();
                Ok(PlatformReply::Objects {
                    revision: Version::new(era, wire.revision),
                    updates: objects
                        .filter_map(|object| decode_update(era, object))
                        .collect(),
                })
            }
            410 => Ok(PlatformReply::HistoryGone(era)),
            _ => Err(NoAnswer),
        }
    }

    async fn execute(self, request: PlatformCall) -> PlatformResult {
        match request {
            PlatformCall::Get {
                key,
                scope: EraScope::Shared,
                ..
            } => self.get(key).await,
            PlatformCall::Put {
                key,
                scope: EraScope::Shared,
                expect,
                object,
            } => self.put(key, expect, *object).await,
            // Conditions of this API name the era, so its objects are shared by all eras.
            PlatformCall::Get { .. } | PlatformCall::Put { .. } | PlatformCall::Delete { .. } => {
                log::error!(
                    "platform: objects of a single era are unsupported; set era_objects = no in [learning]"
                );
                Err(NoAnswer)
            }
            PlatformCall::List { scope, .. } => {
                let path = format!("/v1/objects?kinds={}", kinds_in_scope(scope));
                self.list_objects(path, self.timeout).await
            }
            // This API has exact watches only, so a request for a stale one is served exactly.
            PlatformCall::Watch {
                scope, after, wait, ..
            } => {
                let (kinds, after, millis) =
                    (kinds_in_scope(scope), after.number, wait.as_millis());
                let path = format!("/v1/watch?kinds={kinds}&after={after}&wait_ms={millis}");
                self.list_objects(path, wait + self.timeout).await
            }
        }
    }
}

/// Returns the kinds in a scope, in the API's query syntax.
fn kinds_in_scope(scope: Scope) -> &'static str {
    match scope {
        Scope::Shared => SHARED_KINDS,
        Scope::Configuration => "config",
        Scope::Hosts => "hosts",
        Scope::Evacuations => "evacuations",
        Scope::SharedLeases => "leases",
    }
}

impl PlatformClient for HttpPlatform {
    fn call(&self, request: PlatformCall) -> Boxed<PlatformResult> {
        Box::pin(self.clone().execute(request))
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, NoAnswer> {
    serde_json::from_slice(body).map_err(|error| {
        log::warn!("platform: failed to parse a response: {error}");
        NoAnswer
    })
}

fn undecodable(key: &ObjectKey) -> NoAnswer {
    log::warn!("platform: failed to decode the value of {key:?}");
    NoAnswer
}

/// Decodes an object. One that can't be decoded is skipped, so the last valid one stays in force.
fn decode_update(era: StoreEra, wire: WireObject) -> Option<ObjectUpdate> {
    let key = parse_key(&wire.kind, &wire.name)?;
    match decode(&key, wire.value) {
        Ok(object) => Some(ObjectUpdate {
            key,
            version: Version::new(era, wire.version),
            object,
        }),
        Err(error) => {
            log::warn!("platform: skipped {key:?}, as its value can't be decoded: {error}");
            None
        }
    }
}
