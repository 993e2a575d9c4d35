//! Shared types of firshore: identifiers, labels and selectors, declarations with their validation,
//! and the error body that callers receive. Performs no I/O.
//!
//! ```
//! use firshore_types::labels::{Labels, Selector};
//! let labels = Labels::from_pairs([("team", "fieldline")]);
//! assert!(Selector::matching([("team", "fieldline")]).matches(&labels));
//! ```
#![deny(missing_docs, unsafe_code)]

pub mod configuration;
pub mod declaration;
pub mod declaration_set;
pub mod error;
pub mod hash;
pub mod ids;
pub mod labels;
pub mod machine;
pub mod payload;
pub mod policy;

pub mod settings;
pub mod validation;
