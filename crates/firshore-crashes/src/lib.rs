//! Requests under which back ends end, known again by what they ask. No I/O; the time is passed in.
#![deny(missing_docs, unsafe_code)]

pub mod print;
