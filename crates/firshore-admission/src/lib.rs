//! Admission of requests to a service that is full: which requests are sent, wait briefly or are
//! refused, when a refused caller is to retry, and how capacity is shared between tenants. No I/O;
//! the time and random numbers are passed in.
//!
//! A node decides from the delay until a request would begin at the best back end
//! ([`admission::CapacityOutlook`], from the node's view of the back ends) and whether its caller is
//! within its share of the capacity ([`shares`]). From both follows what is done with the request
//! ([`admission`]), and when a refused caller is to retry ([`retry`], from the load recorded by
//! [`demand`]). A node that is asked to stop also decides whether a request would end in time
//! ([`stop`]).
#![deny(missing_docs, unsafe_code)]

pub mod admission;
pub mod demand;
pub mod retry;
pub mod shares;
pub mod stop;
