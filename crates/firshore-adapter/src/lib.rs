//! Interface between firshore and the environment that it is deployed into.
//!
//! The types here do not depend on an environment. Each environment supplies the parts of an
//! [`Adapter`], which only translate: what callers send ([`caller::CallerDialect`],
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
pub mod residency;
pub mod route;
pub mod tenant;
pub mod text_origin;

use std::rc::Rc;

/// Adapter to one environment, passed to a node at its start.
#[derive(Clone)]
pub struct Adapter {
    /// Reads online requests.
    pub caller: Rc<dyn caller::CallerDialect>,
    /// Reads and answers batch job calls.
    pub jobs: Rc<dyn jobs::JobDialect>,
    /// Writes requests to back ends and reads their responses.
    pub backend: Rc<dyn backend::BackendDialect>,
    /// Store of versioned objects.
    pub objects: Rc<dyn objects::ObjectStore>,
    /// Decodes the environment's objects.
    pub decoder: Rc<dyn decode::Decoder>,
}
