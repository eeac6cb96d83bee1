//! The decision logic of a daemon, free of I/O.
//!
//! It uses no sockets, files, clocks, threads or async code. It takes typed events and returns
//! typed actions; time and randomness are passed in. [`daemon::Daemon`] is the only entry point.
//!
//! - `admission`: the order of requests at overloaded upstreams
//! - `types`: identifiers and monotonic time
//! - `version`: object versions, and the store eras in which they were assigned
//! - `bounds`: limits on values that other programs state
//! - `objects`: the objects stored in the platform
//! - `platform`, `engine`: messages exchanged with the platform and with engines
//! - `event`: input events and output actions
//! - `daemon`: the state machine that combines all modules
//! - `feed`: a subset of the platform's objects that is listed and then watched
//! - `superseded`: newer configurations that peers reported, and since when
//! - `object_fetch`: which peer a daemon fetches large objects from
//! - `evacuations`: failure domains that get no requests
//! - `earlier_hosts`: hosts as reported in an earlier store era
//! - `routable_hosts`: the subset of the host list that routing needs
//! - `fingerprint`: content hashes that identify repeated requests
//! - `fleet_state`: the newest known version of each object; versions never go back
//! - `load`: the requests in progress at each daemon, by which shared capacity is divided
//! - `membership`, `hash`: which daemons are alive, and which of them performs which duty
//! - `lease`: the lease that makes one daemon the lease holder of a failure domain
//! - `demand`: the load that callers put on each model
//! - `controller`, `placement`: which hosts form which replica
//! - `change`, `operator`: configuration changes that operators plan and confirm
//! - `claims`: at-most-once execution of requests with an idempotency key
//! - `claim_witnesses`: peers that remember claims which a restored platform may have lost
//! - `advertised_limit`: rate limits that overloaded upstreams state in their responses
//! - `permits`: how daemons share the rate of such an upstream
//! - `signal`: everything that an upstream states about itself in a response
//! - `forward`: requests that a daemon hands to a peer
//! - `trials`: isolated test runs of requests suspected of crashing upstreams
//! - `router`: which upstream each request is sent to
//! - `route_config`: configuration of routes and model profiles
//! - `routes`: matching of relayed requests to routes

pub mod admission;
pub mod advertised_limit;
pub mod bounds;
pub mod change;
pub mod claim_witnesses;
pub mod claims;
pub mod controller;
pub mod daemon;
pub mod demand;
pub mod earlier_hosts;
pub mod engine;
pub mod evacuations;
pub mod event;
pub mod feed;
pub mod fingerprint;
pub mod fleet_state;
pub mod forward;
pub mod hash;
pub mod lease;
pub mod load;
pub mod membership;
pub mod object_fetch;
pub mod objects;
pub mod operator;
pub mod owner_watch;
pub mod permit_recipients;
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
