//! Origin of a text: what produced its first event, and which back ends may continue it.
//!
//! Outputs of two software versions don't fit together, and back ends don't check this. A position in a text is sent
//! only with a [`ResumePermit`], which only an origin issues.

use crate::backend::Backend;
use crate::incarnation::Incarnation;
use firshore_types::ids::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};

/// Service, software version and process that produced the first event of a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextOrigin {
    #[serde(rename = "s")]
    service: ServiceName,
    /// `None` if the back end's entry names no version: only the same process may continue.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    software: Option<SoftwareVersion>,
    /// `None` if only the version is known.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    process: Option<Incarnation>,
}

impl TextOrigin {
    /// Returns the origin of a text whose first event a back end produced.
    pub fn at(backend: &Backend) -> Self {
        Self {
            service: backend.service.clone(),
            software: backend.software.clone(),
            process: Some(backend.incarnation.clone()),
        }
    }

    /// Returns the origin of a text of which only the service and the software version are known.
    pub fn of_version(service: ServiceName, software: SoftwareVersion) -> Self {
        Self {
            service,
            software: Some(software),
            process: None,
        }
    }

    /// Returns the service that produced it.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the software version that produced it, if it is known.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    /// Returns the process that produced the first event, if it is known.
    pub fn process(&self) -> Option<&Incarnation> {
        self.process.as_ref()
    }

    /// Returns whether a back end may continue the text.
    pub fn allows(&self, backend: &Backend) -> bool {
        let is_same_software = match &self.software {
            Some(_) => self.software == backend.software,
            None => self.process.as_ref() == Some(&backend.incarnation),
        };
        self.service == backend.service && is_same_software
    }

    /// Returns the permit to continue the text after an event at a back end; `None` if the back end may not.
    pub fn permit(&self, backend: &Backend, after: u64) -> Option<ResumePermit> {
        self.allows(backend).then_some(ResumePermit { after })
    }
}

/// Permit to continue a text after an event, at the back end that it was issued for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePermit {
    after: u64,
}

impl ResumePermit {
    /// Returns the number of the last event received.
    pub fn after(self) -> u64 {
        self.after
    }
}
