//! Decides which back end runs a request. No I/O: the clock and random numbers are passed in.
#![deny(missing_docs, unsafe_code)]

pub mod balance;
