//! Jobs.
