//! Back ends: their identity, the terms sent with a request, and the content of responses.

use crate::incarnation::Incarnation;
use crate::objects::Revision;
use crate::text_origin::ResumePermit;
use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use firshore_types::ids::{ServiceName, SoftwareVersion, TenantName, ZoneName};
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
    /// Zone of the back end.
    pub zone: ZoneName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it has announced that it will shut down.
    pub leaving: bool,
    /// Present while it is cold and gets requests at a limited rate.
    pub warm_up: Option<WarmUp>,
    /// Version of its software, if its entry names one.
    pub software: Option<SoftwareVersion>,
}

/// Remaining warm-up of a cold back end, as its entry states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    /// Remaining time when the entry was written.
    pub remaining: Duration,
    /// Revision of the entry: the same entry read again doesn't start the warm-up anew.
    pub revision: Revision,
}

/// Load that a back end reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests queued at the back end.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Current pace, if reported.
    pub pace: Option<Pace>,
}

/// Factor by which work at a back end takes longer than typical, in hundredths: 200 is half the typical speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(NonZeroU32);

impl Pace {
    /// Typical duration: factor 1.
    pub const TYPICAL: Self = Self(NonZeroU32::new(100).expect("100 is not 0"));

    /// Creates a pace from hundredths of the typical duration; `None` for 0.
    pub fn from_hundredths(hundredths: u32) -> Option<Self> {
        NonZeroU32::new(hundredths).map(Self)
    }

    /// Returns the pace in hundredths of the typical duration.
    pub fn hundredths(self) -> u32 {
        self.0.get()
    }

    /// Returns the factor by which work takes longer than typical.
    pub fn factor(self) -> f32 {
        self.0.get() as f32 / Self::TYPICAL.0.get() as f32
    }
}

/// What a response states about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// The back end states that it did not and will not run it.
    No,
    /// It ran, or the response does not exclude that it ran.
    Maybe,
    /// The back end confirms that it produced the response.
    Yes,
}

/// Decoded head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the request ran.
    pub ran: Ran,
    /// Another incarnation holds the address.
    pub misdirected: bool,
    /// Load, if reported.
    pub load: Option<ReportedLoad>,
}

/// Terms sent with a request to a back end.
#[derive(Clone, Copy, Debug)]
pub struct SendTerms<'a> {
    /// The only incarnation that may run it.
    pub incarnation: &'a Incarnation,
    /// Time remaining until the deadline.
    pub remaining: Duration,
    /// Permit to continue a text, if one is continued.
    pub resume: Option<ResumePermit>,
    /// Tenant of the request, if known.
    pub tenant: Option<&'a TenantName>,
}

/// Encodes requests to back ends and decodes their responses. Called for every request and response.
pub trait BackendDialect {
    /// Sets the headers that carry `terms` and keeps the caller's other headers. Removes keys and tenant
    /// names that the caller sent.
    fn write_terms(&self, headers: &mut HeaderMap, terms: &SendTerms<'_>);

    /// Decodes the head of a response.
    fn read_answer(&self, head: &ResponseHead) -> AnswerHead;

    /// Returns whether a response belongs to the request with these headers.
    fn answers(&self, request: &HeaderMap, head: &ResponseHead) -> bool;
}
