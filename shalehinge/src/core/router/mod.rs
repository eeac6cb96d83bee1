//! Routing: decides which upstream runs each request, and when, and determines its outcome.
//!
//! - `request`: data types for requests, attempts and outcomes
//! - `queue`: queue that is fair between customers
//! - `wait_queue`: the queue of a target, in which late requests go last
//! - `estimate`: estimates of queueing time and latency
//! - `upstream`: state of one upstream: evidence, available room and speed
//! - `topology`: selection of the upstreams that this daemon considers
//! - `candidates`: how many upstreams this daemon considers
//! - `prefix`: hints about which prompt prefixes an upstream's cache holds
//! - `capacity`: detection of missing upstreams
//! - `availability`: whether and when an upstream can accept a request
//! - `cooldown`, `leaving`, `signals`: what upstreams state about themselves
//! - `choose`: selection of an upstream for a request
//! - `outlier`: ejection of upstreams that fail or are slow
//! - `failing`: detection of requests that fail on every upstream
//! - `limit_state`, `limits`: limits that overloaded upstreams name, and permits to send to them
//! - `connectivity`: whether this daemon can connect to the upstreams of a target
//! - `forwarding`: hands requests to peers while it can't
//! - `reachability`: failure domains whose upstreams can't be connected to
//! - `warm_up`: limits on requests to upstreams that have just started
//! - `refusal`: refusal of requests before they are sent
//! - `retry_budget`: limit on the number of retries
//! - `keys`: validity of API keys of relayed requests
//! - `culprit_sets`: suspects of which at least one crashes upstreams
//! - `quarantine`: quarantine of requests that crash upstreams
//! - `suspects`: evidence of such requests, and its exchange with other daemons
//! - `trial`: trials of suspected requests
//! - `saturation`: requests that wait for this daemon's own share of the capacity
//! - `traffic_share`: this daemon's share of what all daemons may use together
//! - `reports`: load reports from upstreams
//! - `expiry`: expired deadlines and other periodic work
//! - `stalled`: detection of stalled replicas
//! - `hedging`: second attempts beside those at silent upstreams
//! - `overload_order`: the urgency with which requests are sent to overloaded upstreams
//! - `target`: state of one model or service: its upstreams and its queue
//! - `attempts`: what happens to a request while an attempt runs, and when it ends
//! - `retries`: whether a request is sent again after an attempt
//! - `decision_log`: the log line of a routing decision
//! - `dispatch`: the state machine that combines all of these

mod attempts;
pub mod availability;
mod candidates;
pub mod capacity;
pub mod choose;
pub mod connectivity;
pub mod cooldown;
pub mod culprit_sets;
mod decision_log;
pub mod dispatch;
pub mod estimate;
mod expiry;
pub mod failing;
pub mod forwarding;
mod hedging;
mod keys;
pub mod leaving;
pub mod limit_state;
mod limits;
pub mod outlier;
mod overload_order;
pub mod prefix;
pub mod quarantine;
pub mod queue;
pub mod reachability;
mod refusal;
mod reports;
pub mod request;
mod retries;
pub mod retry_budget;
pub mod saturation;
mod signals;
mod stalled;
mod suspects;
mod target;
pub mod topology;
pub mod traffic_share;
mod trial;
pub mod upstream;
pub mod wait_queue;
pub mod warm_up;

pub use dispatch::{Router, RouterAction};
