//! The decisions of a daemon, without input or output.
//!
//! No sockets, files, clocks, threads or async: typed events go in, typed
//! actions come out, time and randomness are passed in. [`daemon::Daemon`] is
//! the one entry to all of it.
//!
//! - `types`: identifiers and time
//! - `version`: versions of what is kept, and the eras of the store that gave them out
//! - `objects`: what is kept in the platform
//! - `platform`, `engine`: messages to the platform and to engines
//! - `event`: what goes in, what comes out
//! - `daemon`: the whole of a daemon's decisions
//! - `feed`: one part of what the platform keeps, listed and watched
//! - `superseded`: since when a newer configuration is known of
//! - `object_fetch`: whom a daemon asks for large objects
//! - `earlier_hosts`: hosts as an earlier era of the store reported them
//! - `routable_hosts`: the part of the host list that routing needs
//! - `fingerprint`: what a request asks, the same each time that it comes
//! - `fleet_state`: the newest objects known, which never revert
//! - `membership`, `hash`: which daemons live, and who does what
//! - `lease`: who acts for a failure domain
//! - `demand`: the work that callers ask of each model
//! - `controller`, `placement`: which hosts form which replica
//! - `change`, `operator`: plans that operators confirm
//! - `claims`: requests that may run at most once
//! - `named_limit`: what upstreams in need say of the requests that they take
//! - `permits`: permits to send to these
//! - `signal`: all that upstreams state about themselves in an answer
//! - `trials`: trials of requests that may crash the upstreams that run them
//! - `router`: which request goes where
//! - `route_config`: routes and models as they are configured
//! - `routes`: which route a relayed request takes

pub mod change;
pub mod claims;
pub mod controller;
pub mod daemon;
pub mod demand;
pub mod earlier_hosts;
pub mod engine;
pub mod event;
pub mod feed;
pub mod fingerprint;
pub mod fleet_state;
pub mod hash;
pub mod lease;
pub mod membership;
pub mod named_limit;
pub mod object_fetch;
pub mod objects;
pub mod operator;
pub mod permits;
pub mod placement;
pub mod platform;
pub mod routable_hosts;
pub mod route_config;
pub mod router;
pub mod routes;
pub mod signal;
pub mod superseded;
pub mod trials;
pub mod types;
pub mod version;
