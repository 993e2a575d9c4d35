//! The replicated log beneath the journal, as a state machine with storage behind a trait.
#![deny(missing_docs, unsafe_code)]
