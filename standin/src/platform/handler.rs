//! HTTP API of the stand-in platform. See docs/INTERFACES.md.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use shalehinge::object_api::http::{ERA_HEADER, WireVersion};
use shalehinge::utils::time::with_timeout;
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

use super::store::{PlatformFault, Store};
use crate::server::{query_parameter, read_json, write_json};

/// Maximum time that a watch request is held open.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone, Default)]
struct Platform(Arc<Mutex<Store>>);

/// Returns the handler of the object API and of the administrative endpoints.
pub fn handler() -> impl Handler {
    let platform = Platform::default();
    let get = platform.clone();
    let put = platform.clone();
    let list = platform.clone();
    let watch = platform.clone();
    let host = platform.clone();
    let remove = platform.clone();
    let fault = platform.clone();
    let backup = platform.clone();
    let restore = platform.clone();
    Router::new()
        .get("/v1/objects/:kind/:name", move |conn: Conn| {
            let platform = get.clone();
            async move { platform.get(conn) }
        })
        .put("/v1/objects/:kind/:name", move |conn: Conn| {
            let platform = put.clone();
            async move { platform.put(conn).await }
        })
        .get("/v1/objects", move |conn: Conn| {
            let platform = list.clone();
            async move { platform.list(conn) }
        })
        .get("/v1/watch", move |conn: Conn| {
            let platform = watch.clone();
            async move { platform.watch(conn).await }
        })
        .put("/admin/hosts/:name", move |conn: Conn| {
            let platform = host.clone();
            async move { platform.put_host(conn).await }
        })
        .delete("/admin/hosts/:name", move |conn: Conn| {
            let platform = remove.clone();
            async move { platform.delete_host(conn) }
        })
        .put("/admin/fault", move |conn: Conn| {
            let platform = fault.clone();
            async move { platform.put_fault(conn).await }
        })
        .put("/admin/copy", move |conn: Conn| {
            let platform = backup.clone();
            async move {
                platform.store().take_backup();
                conn.with_status(Status::NoContent).halt()
            }
        })
        .put("/admin/restore", move |conn: Conn| {
            let platform = restore.clone();
            async move {
                platform.store().restore();
                conn.with_status(Status::NoContent).halt()
            }
        })
        .get("/admin/counts", move |conn: Conn| {
            let platform = platform.clone();
            async move { write_json(conn, Status::Ok, &platform.store().counts) }
        })
}

fn unavailable(conn: Conn) -> Conn {
    conn.with_status(Status::ServiceUnavailable).halt()
}

/// Adds the header with the store's era.
fn with_era_header(conn: Conn, store: &Store) -> Conn {
    conn.with_response_header(ERA_HEADER, store.era().to_string())
}

fn kind_and_name(conn: &Conn) -> (String, String) {
    let param = |name| conn.param(name).unwrap_or_default().to_owned();
    (param("kind"), param("name"))
}

impl Platform {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_down(&self) -> bool {
        self.store().fault == PlatformFault::Down
    }

    fn get(&self, conn: Conn) -> Conn {
        if self.is_down() {
            return unavailable(conn);
        }
        let (kind, name) = kind_and_name(&conn);
        let mut store = self.store();
        store.counts.reads += 1;
        let conn = with_era_header(conn, &store);
        match store.get(&kind, &name) {
            Some(object) => write_json(conn, Status::Ok, &object),
            None => conn.with_status(Status::NotFound).halt(),
        }
    }

    async fn put(&self, mut conn: Conn) -> Conn {
        let (kind, name) = kind_and_name(&conn);
        let expected_version = query_parameter(&conn, "expect").unwrap_or(0);
        let Some(value) = read_json::<Value>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        if self.is_down() {
            return unavailable(conn);
        }
        let mut store = self.store();
        store.counts.writes += 1;
        store.counts.bytes_written += value.to_string().len() as u64;
        let era = query_parameter(&conn, "era");
        let result = if era.is_none_or(|era: u32| era == store.era()) {
            store.put(&kind, &name, expected_version, value)
        } else {
            Err(store.version(&kind, &name))
        };
        if store.fault == PlatformFault::LoseAnswers {
            return unavailable(conn);
        }
        let conn = with_era_header(conn, &store);
        match result {
            Ok(version) => write_json(conn, Status::Ok, &WireVersion { version }),
            Err(version) => write_json(conn, Status::Conflict, &WireVersion { version }),
        }
    }

    fn list(&self, conn: Conn) -> Conn {
        if self.is_down() {
            return unavailable(conn);
        }
        let kinds: String = query_parameter(&conn, "kinds").unwrap_or_default();
        let mut store = self.store();
        store.counts.reads += 1;
        let list = store.changed_since(&kinds, 0);
        write_json(with_era_header(conn, &store), Status::Ok, &list)
    }

    async fn watch(&self, conn: Conn) -> Conn {
        let kinds: String = query_parameter(&conn, "kinds").unwrap_or_default();
        let after = query_parameter(&conn, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_parameter(&conn, "wait_ms").unwrap_or(0))
            .min(MAX_WATCH_WAIT);
        let deadline = Instant::now() + wait;
        self.store().counts.watches += 1;
        let era = self.store().era();
        loop {
            let next_write = {
                let mut store = self.store();
                if store.fault == PlatformFault::Down || store.era() != era {
                    return unavailable(conn);
                }
                if !store.has_reached_revision(after) {
                    return with_era_header(conn, &store)
                        .with_status(Status::Gone)
                        .halt();
                }
                let list = store.changed_since(&kinds, after);
                if !list.objects.is_empty() || Instant::now() >= deadline {
                    return write_json(with_era_header(conn, &store), Status::Ok, &list);
                }
                store.subscribe_to_next_write()
            };
            // Checks again at least every 500 ms, so that a fault set in the meantime takes
            // effect.
            let remaining = deadline.saturating_duration_since(Instant::now());
            with_timeout(remaining.min(Duration::from_millis(500)), next_write.recv()).await;
        }
    }

    async fn put_host(&self, mut conn: Conn) -> Conn {
        let name = conn.param("name").unwrap_or_default().to_owned();
        let Some(host) = read_json::<Value>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        self.store().update("hosts", "all", |list| {
            list["hosts"][name] = host;
        });
        conn.with_status(Status::NoContent).halt()
    }

    fn delete_host(&self, conn: Conn) -> Conn {
        let name = conn.param("name").unwrap_or_default().to_owned();
        self.store().update("hosts", "all", |list| {
            if let Some(hosts) = list["hosts"].as_object_mut() {
                hosts.remove(&name);
            }
        });
        conn.with_status(Status::NoContent).halt()
    }

    async fn put_fault(&self, mut conn: Conn) -> Conn {
        let Some(fault) = read_json::<PlatformFault>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        self.store().fault = fault;
        conn.with_status(Status::NoContent).halt()
    }
}
