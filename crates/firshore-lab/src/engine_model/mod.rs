//! A model of one inference engine: continuous batching as a state machine without I/O.
//!
//! The HTTP stand-in drives it in real time and the experiments in simulated time; both get the
//! same decisions. Times are microseconds since an origin that the driver chooses.
//! `docs/design/engine-model.md` gives the equations, defaults and what is assumed.

mod cache;
mod engine;
mod kept;
mod load;
mod order;
mod request;
mod settings;

pub use cache::{CacheEvent, CacheEventKind, CachePage};
pub use engine::{Engine, PrefixUse};
pub use kept::KvExport;
pub use load::LoadReport;
pub use order::{Fence, Order, OrderOutcome, StaleFence};
pub use request::{
    Event, Execution, FIRST_ONLINE_PRIORITY, Outcome, Refusal, RunNumber, Submission,
};
pub use settings::{EngineSettings, Faults};

/// Time in microseconds since the driver's origin.
pub type Microseconds = u64;
