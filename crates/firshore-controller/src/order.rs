//! Orders to engines, as they go over the wire.

use firshore_types::declaration::EngineRole;
use serde::{Deserialize, Serialize};

/// Fencing token: a later term beats any sequence of an earlier one, and within a term the larger
/// sequence wins. Engines refuse an order with an older token than they hold.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the journal group's leader that runs the controller.
    pub term: u64,
    /// Number of the order in the term, from 1.
    pub sequence: u64,
}

/// What an engine is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load a model, beside those loaded.
    LoadModel {
        /// Model.
        model: String,
    },
    /// Drop a model; its runs go on to their end.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Take a role; runs go on to their end.
    SetRole {
        /// Role.
        role: EngineRole,
    },
}

impl Order {
    /// Whether carrying it out draws on the weight store.
    pub fn draws_weights(&self) -> bool {
        matches!(self, Self::LoadModel { .. })
    }
}

/// An order with the token that orders it among others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Token.
    pub fence: Fence,
    /// Content.
    pub order: Order,
}
