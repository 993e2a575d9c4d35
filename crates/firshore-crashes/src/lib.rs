//! Requests under which back ends end: which they are, as all nodes together have seen it. No I/O; the
//! time is passed in.
//!
//! A request that crashes back ends comes again with another identifier, at any node, so each node alone
//! sees a part of what it does. Nodes know it by what it asks ([`mod@fingerprint`]). Each keeps which back ends have
//! ended and which requests were lost there ([`table`]), and passes that on ([`sync`]); it is a union of
//! sets, so that it may be told in any order, twice, and by anybody. Each node judges by itself from what it
//! knows, and all that know the same judge the same.
#![deny(missing_docs, unsafe_code)]

pub mod fingerprint;
pub mod report;
pub mod sync;
pub mod table;
mod verdict;
