//! Helpers shared by several modules.
//!
//! - `allocator`: settings of the memory allocator
//! - `body`: bodies within limits of size, time and memory
//! - `body_framing`: lengths, chunks and trailers of bodies on a connection
//! - `bounded_transport`: connections that end when a response exceeds its bounds
//! - `caller_connection`: notices that a caller disconnects during its response
//! - `clock`: the clock for lease terms and ages
//! - `fatal`: the process's exit after an error that it can't continue from
//! - `headers`: selection of the headers that are forwarded
//! - `http`: common configuration of HTTP clients and listeners
//! - `listener`: listening sockets whose accept loop outlasts errors
//! - `memory_budget`: budget for the bytes held for callers and upstreams
//! - `raw_target`: connections that write a request target as the caller sent it
//! - `request_target`: request targets that can be forwarded unchanged
//! - `request_transport`: callers' connections that hold request heads until they are complete
//! - `response_bounds`: bounds on heads, trailers and surplus bytes of responses
//! - `task`: task executor with several threads
//! - `time`: time-outs and wall clock

pub mod allocator;
pub mod body;
pub mod body_framing;
pub mod bounded_transport;
pub mod caller_connection;
pub mod clock;
pub mod fatal;
pub mod headers;
pub mod http;
pub mod listener;
pub mod memory_budget;
pub mod raw_target;
pub mod request_target;
pub mod request_transport;
pub mod response_bounds;
pub mod task;
pub mod time;
