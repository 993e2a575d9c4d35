//! Turns declared role shares and the demand for models into fenced orders to engines: a bounded
//! number in flight, rolled out so that a pool keeps an engine for each model and role. State
//! machines without I/O.
#![deny(missing_docs, unsafe_code)]

pub mod controller;
pub mod coverage;
pub mod grouping;
pub mod order;
pub mod plan;
