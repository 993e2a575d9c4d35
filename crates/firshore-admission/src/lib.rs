//! Who is let in where a service has too little room, who waits for a moment, who is refused and until
//! when, and whose share it is. No I/O; the time and random numbers are passed in.
//!
//! A node asks in this order: how soon a request would begin at the best back end ([`admission::CapacityOutlook`],
//! from what the node believes of back ends), whether its caller is within its share of the room
//! ([`shares`]), what follows from both ([`admission`]), and when a refused caller is to come back
//! ([`retry`], from the load as [`demand`] has seen it).
#![deny(missing_docs, unsafe_code)]

pub mod admission;
pub mod demand;
pub mod retry;
pub mod shares;
