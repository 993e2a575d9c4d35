//! Orders to engines, in their wire format.

use firshore_types::declaration::EngineRole;
use serde::{Deserialize, Serialize};

/// Fencing token, ordered by term, then by sequence. Engines refuse an order with an older token
/// than their latest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the journal group's leader that runs the controller.
    pub term: u64,
    /// Number of the order in the term, from 1.
    pub sequence: u64,
}

/// A change that an engine must make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a model in addition to those loaded.
    LoadModel {
        /// Model.
        model: String,
    },
    /// Unload a model; its current runs finish.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Change the role; current runs finish.
    SetRole {
        /// Role.
        role: EngineRole,
    },
}

impl Order {
    /// Returns whether the order reads from the weight store.
    pub fn reads_weight_store(&self) -> bool {
        matches!(self, Self::LoadModel { .. })
    }
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Token.
    pub fence: Fence,
    /// Content.
    pub order: Order,
}
