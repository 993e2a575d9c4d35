//! Back ends: who they are, what they are told with a request, and what their answers say.

use crate::incarnation::Incarnation;
use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use firshore_types::ids::{ServiceName, TenantName, ZoneName};
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;

/// A back end as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Identity.
    pub incarnation: Incarnation,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it has said that it is about to leave.
    pub leaving: bool,
}

/// Load that a back end tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests under way.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How long work takes there at present, where it is told.
    pub pace: Option<Pace>,
}

/// How long work takes at a back end, as a part of the usual time in hundredths: 200 is half as fast as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(NonZeroU32);

impl Pace {
    /// As long as usual.
    pub const USUAL: Self = Self(NonZeroU32::new(100).expect("100 is not 0"));

    /// A pace in hundredths of the usual time; `None` for 0, as no work takes no time.
    pub fn from_hundredths(hundredths: u32) -> Option<Self> {
        NonZeroU32::new(hundredths).map(Self)
    }

    /// Returns the pace in hundredths of the usual time.
    pub fn hundredths(self) -> u32 {
        self.0.get()
    }

    /// Returns how many times the usual time work takes.
    pub fn factor(self) -> f32 {
        self.0.get() as f32 / Self::USUAL.0.get() as f32
    }
}

/// Whether an answer says that the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The back end says that it did not and will not run it.
    No,
    /// It ran, or nothing says that it did not.
    Maybe,
    /// The back end vouches for the answer as its own.
    Yes,
}

/// What an answer's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the request ran.
    pub ran: Ran,
    /// Another incarnation holds the address.
    pub misdirected: bool,
    /// Load, where it is told.
    pub load: Option<ReportedLoad>,
}

/// What a request is sent with.
#[derive(Clone, Copy, Debug)]
pub struct SendTerms<'a> {
    /// The only incarnation that may run it.
    pub incarnation: &'a Incarnation,
    /// Time left for it.
    pub remaining: Duration,
    /// Number of the last event that is held already, where a stream is to go on.
    pub resume_after: Option<u64>,
    /// Tenant that the request comes from, where it is known.
    pub tenant: Option<&'a TenantName>,
}

/// How requests to back ends and their answers are written. Called for every send and answer.
pub trait BackendDialect {
    /// Sets the headers that tell a back end `terms`; the caller's other headers stay. What a caller
    /// sends as a key, or as the name of a tenant, never reaches a back end.
    fn write_terms(&self, headers: &mut HeaderMap, terms: &SendTerms<'_>);

    /// Reads the head of an answer.
    fn read_answer(&self, head: &ResponseHead) -> AnswerHead;

    /// Whether an answer belongs to the request with these headers.
    fn answers(&self, request: &HeaderMap, head: &ResponseHead) -> bool;
}
