//! The stand-in platform's API over HTTP. See docs/INTERFACES.md.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;
use shalehinge::object_api::http::{ERA, WireVersion};
use shalehinge::utils::time::with_timeout;
use trillium::{Conn, Handler, Status};
use trillium_router::{Router, RouterConnExt};

use super::store::{Fault, Store};
use crate::server::{query, read_json, write_json};

/// Longest time that a watch is held open.
const MOST_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone, Default)]
struct Platform(Arc<Mutex<Store>>);

/// Handles the API and the faults.
pub fn handler() -> impl Handler {
    let platform = Platform::default();
    let get = platform.clone();
    let put = platform.clone();
    let list = platform.clone();
    let watch = platform.clone();
    let host = platform.clone();
    let gone = platform.clone();
    let fault = platform.clone();
    let copy = platform.clone();
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
            let platform = gone.clone();
            async move { platform.delete_host(conn) }
        })
        .put("/admin/fault", move |conn: Conn| {
            let platform = fault.clone();
            async move { platform.put_fault(conn).await }
        })
        .put("/admin/copy", move |conn: Conn| {
            let platform = copy.clone();
            async move {
                platform.store().take_copy();
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

/// Says how often the store was restored from a copy.
fn in_era(conn: Conn, store: &Store) -> Conn {
    conn.with_response_header(ERA, store.era().to_string())
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
        self.store().fault == Fault::Down
    }

    fn get(&self, conn: Conn) -> Conn {
        if self.is_down() {
            return unavailable(conn);
        }
        let (kind, name) = kind_and_name(&conn);
        let mut store = self.store();
        store.counts.reads += 1;
        let conn = in_era(conn, &store);
        match store.get(&kind, &name) {
            Some(object) => write_json(conn, Status::Ok, &object),
            None => conn.with_status(Status::NotFound).halt(),
        }
    }

    async fn put(&self, mut conn: Conn) -> Conn {
        let (kind, name) = kind_and_name(&conn);
        let expect = query(&conn, "expect").unwrap_or(0);
        let Some(value) = read_json::<Value>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        if self.is_down() {
            return unavailable(conn);
        }
        let mut store = self.store();
        store.counts.writes += 1;
        store.counts.bytes_written += value.to_string().len() as u64;
        let era = query(&conn, "era");
        let result = if era.is_none_or(|era: u32| era == store.era()) {
            store.put(&kind, &name, expect, value)
        } else {
            Err(store.version(&kind, &name))
        };
        if store.fault == Fault::LoseAnswers {
            return unavailable(conn);
        }
        let conn = in_era(conn, &store);
        match result {
            Ok(version) => write_json(conn, Status::Ok, &WireVersion { version }),
            Err(version) => write_json(conn, Status::Conflict, &WireVersion { version }),
        }
    }

    fn list(&self, conn: Conn) -> Conn {
        if self.is_down() {
            return unavailable(conn);
        }
        let kinds: String = query(&conn, "kinds").unwrap_or_default();
        let mut store = self.store();
        store.counts.reads += 1;
        let list = store.changed(&kinds, 0);
        write_json(in_era(conn, &store), Status::Ok, &list)
    }

    async fn watch(&self, conn: Conn) -> Conn {
        let kinds: String = query(&conn, "kinds").unwrap_or_default();
        let after = query(&conn, "after").unwrap_or(0);
        let wait = Duration::from_millis(query(&conn, "wait_ms").unwrap_or(0)).min(MOST_WAIT);
        let until = Instant::now() + wait;
        self.store().counts.watches += 1;
        let era = self.store().era();
        loop {
            let next_write = {
                let mut store = self.store();
                if store.fault == Fault::Down || store.era() != era {
                    return unavailable(conn);
                }
                if !store.has_reached(after) {
                    return in_era(conn, &store).with_status(Status::Gone).halt();
                }
                let list = store.changed(&kinds, after);
                if !list.objects.is_empty() || Instant::now() >= until {
                    return write_json(in_era(conn, &store), Status::Ok, &list);
                }
                store.next_write()
            };
            // Looks up again at times, so that a fault set meanwhile shows.
            let left = until.saturating_duration_since(Instant::now());
            with_timeout(left.min(Duration::from_millis(500)), next_write.recv()).await;
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
        let Some(fault) = read_json::<Fault>(&mut conn).await else {
            return conn.with_status(Status::BadRequest).halt();
        };
        self.store().fault = fault;
        conn.with_status(Status::NoContent).halt()
    }
}
