//! Turns declared role shares and the demand for models into fenced orders to engines: a bounded
//! number at once, rolled so that a pool never loses its last engine for a model or a role. State
//! machines without I/O.
#![deny(missing_docs, unsafe_code)]

pub mod controller;
pub mod coverage;
pub mod grouping;
pub mod order;
pub mod plan;
