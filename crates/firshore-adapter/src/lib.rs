//! The seam between firshore and the environment that it is deployed into.
//!
//! Everything here is in the product's own words. An environment is met by an implementation of
//! [`Adapter`], which translates and decides nothing: what callers send ([`caller::CallerDialect`],
//! [`jobs::JobDialect`]), what back ends speak ([`backend::BackendDialect`]), where versioned
//! objects are kept ([`objects::ObjectStore`]) and what some of them mean ([`decode::Decoder`]).
#![deny(missing_docs, unsafe_code)]

pub mod backend;
pub mod caller;
pub mod configuration;
pub mod decode;
pub mod incarnation;
pub mod jobs;
pub mod objects;
pub mod route;
pub mod tenant;

use std::rc::Rc;

/// One environment, as the composition root hands it to a node.
#[derive(Clone)]
pub struct Adapter {
    /// How online requests are read.
    pub caller: Rc<dyn caller::CallerDialect>,
    /// How batch jobs are submitted and read.
    pub jobs: Rc<dyn jobs::JobDialect>,
    /// What back ends are told and answer.
    pub backend: Rc<dyn backend::BackendDialect>,
    /// Where versioned objects are kept.
    pub objects: Rc<dyn objects::ObjectStore>,
    /// What the environment's own objects mean.
    pub decoder: Rc<dyn decode::Decoder>,
}
