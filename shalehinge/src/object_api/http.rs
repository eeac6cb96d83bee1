//! The platform's object API by JSON over HTTP. See docs/INTERFACES.md.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::Boxed;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use trillium_client::Client;

use super::PlatformClient;
use super::store_era::exchange_in_era;
use crate::core::fleet_state::ObjectUpdate;
use crate::core::objects::{Object, ObjectKey, Versioned};
use crate::core::platform::{NoAnswer, PlatformCall, PlatformReply, PlatformResult, Scope};
use crate::core::types::{FailureDomain, StoreEra, Version};
use crate::utils::http::{ResponseTimeouts, pooled_client, url};

/// Header of all answers: the era of the store.
pub const ERA: &str = "x-shalehinge-era";
/// Kinds that are listed and watched.
pub const SHARED_KINDS: &str = "config,hosts,assignments";

/// An object as it is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireObject {
    /// Kind of the object.
    pub kind: String,
    /// Name within the kind.
    pub name: String,
    /// Version, from 1.
    pub version: u64,
    /// Value in JSON.
    pub value: Value,
}

/// Answer to a list or a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireList {
    /// Revision of the whole store.
    pub revision: u64,
    /// Objects.
    pub objects: Vec<WireObject>,
}

/// Answer to a write, also to one that was refused.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct WireVersion {
    /// Version that the object has now; 0 if it does not exist.
    pub version: u64,
}

/// Kind and name of an object.
pub fn kind_and_name(key: &ObjectKey) -> (&'static str, String) {
    match key {
        ObjectKey::Fleet => ("config", "fleet".into()),
        ObjectKey::Hosts => ("hosts", "all".into()),
        ObjectKey::Assignment(domain) => ("assignments", domain.to_string()),
        ObjectKey::Lease(domain) => ("leases", domain.to_string()),
        ObjectKey::Claims(partition) => ("claims", partition.to_string()),
    }
}

/// The key of an object, if it is one of ours.
fn key_of(kind: &str, name: &str) -> Option<ObjectKey> {
    match (kind, name) {
        ("config", "fleet") => Some(ObjectKey::Fleet),
        ("hosts", "all") => Some(ObjectKey::Hosts),
        ("assignments", domain) => Some(ObjectKey::Assignment(FailureDomain::new(domain))),
        ("leases", domain) => Some(ObjectKey::Lease(FailureDomain::new(domain))),
        ("claims", partition) => partition.parse().ok().map(ObjectKey::Claims),
        _ => None,
    }
}

fn decode(key: &ObjectKey, value: Value) -> serde_json::Result<Object> {
    Ok(match key {
        ObjectKey::Fleet => Object::Fleet(serde_json::from_value(value)?),
        ObjectKey::Hosts => Object::Hosts(serde_json::from_value(value)?),
        ObjectKey::Assignment(_) => Object::Assignment(serde_json::from_value(value)?),
        ObjectKey::Lease(_) => Object::Lease(serde_json::from_value(value)?),
        ObjectKey::Claims(_) => Object::Claims(serde_json::from_value(value)?),
    })
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
    }
}

/// A client of the object API.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatform {
    /// A client for this address; each call is given up after `timeout`.
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

    /// Sends a call and reads the whole answer and its era.
    async fn get(&self, key: ObjectKey) -> PlatformResult {
        let conn = self.client.get(self.object_url(&key));
        let limits = ResponseTimeouts::uniform(self.timeout);
        let (era, answer) = exchange_in_era(conn, limits, ERA).await?;
        match answer.status {
            200 => {
                let wire: WireObject = parse(&answer.body)?;
                let version = Version::new(era, wire.version);
                match decode(&key, wire.value).map_err(|_| unreadable(&key)) {
                    Ok(value) => Ok(PlatformReply::Object(Box::new(Versioned {
                        version,
                        value,
                    }))),
                    Err(_) if key.is_written_here() => Ok(PlatformReply::Foreign(version)),
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
        let (era, answer) = exchange_in_era(conn, limits, ERA).await?;
        match answer.status {
            200 => {
                let wire: WireVersion = parse(&answer.body)?;
                Ok(PlatformReply::Written(Version::new(era, wire.version)))
            }
            409 => Ok(PlatformReply::Conflict(era)),
            _ => Err(NoAnswer),
        }
    }

    async fn objects(&self, path: String, head: Duration) -> PlatformResult {
        let conn = self.client.get(url(self.address, &path));
        let limits = ResponseTimeouts::for_large_response(head, self.timeout);
        let (era, answer) = exchange_in_era(conn, limits, ERA).await?;
        match answer.status {
            200 => {
                let wire: WireList = parse(&answer.body)?;
                let objects = wire.objects.into_iter();
                Ok(PlatformReply::Objects {
                    revision: Version::new(era, wire.revision),
                    updates: objects
                        .filter_map(|object| update_of(era, object))
                        .collect(),
                })
            }
            410 => Ok(PlatformReply::HistoryGone(era)),
            _ => Err(NoAnswer),
        }
    }

    async fn make(self, request: PlatformCall) -> PlatformResult {
        match request {
            PlatformCall::Get { key, .. } => self.get(key).await,
            PlatformCall::Put {
                key,
                expect,
                object,
            } => self.put(key, expect, *object).await,
            PlatformCall::List { scope, .. } => {
                let path = format!("/v1/objects?kinds={}", kinds_of(scope));
                self.objects(path, self.timeout).await
            }
            // This API knows exact watches only.
            PlatformCall::Watch {
                scope, after, wait, ..
            } => {
                let (kinds, after, millis) = (kinds_of(scope), after.number, wait.as_millis());
                let path = format!("/v1/watch?kinds={kinds}&after={after}&wait_ms={millis}");
                self.objects(path, wait + self.timeout).await
            }
        }
    }
}

/// The kinds of a scope, as the API names them.
fn kinds_of(scope: Scope) -> &'static str {
    match scope {
        Scope::Shared => SHARED_KINDS,
        Scope::Configuration => "config",
        Scope::Hosts => "hosts",
    }
}

impl PlatformClient for HttpPlatform {
    fn call(&self, request: PlatformCall) -> Boxed<PlatformResult> {
        Box::pin(self.clone().make(request))
    }
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, NoAnswer> {
    serde_json::from_slice(body).map_err(|error| {
        log::warn!("platform: answer can't be read: {error}");
        NoAnswer
    })
}

fn unreadable(key: &ObjectKey) -> NoAnswer {
    log::warn!("platform: the value of {key:?} can't be read");
    NoAnswer
}

/// An object that can't be read is passed over; the last good one stays in force.
fn update_of(era: StoreEra, wire: WireObject) -> Option<ObjectUpdate> {
    let key = key_of(&wire.kind, &wire.name)?;
    match decode(&key, wire.value) {
        Ok(object) => Some(ObjectUpdate {
            key,
            version: Version::new(era, wire.version),
            object,
        }),
        Err(error) => {
            log::warn!("platform: {key:?} can't be read and is passed over: {error}");
            None
        }
    }
}
