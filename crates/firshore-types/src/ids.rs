//! Identifiers. Each is a newtype, so that the compiler rejects one in place of another.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! text_identifier {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

text_identifier!(
    /// Name of a node, unique in the cluster while the node lives.
    NodeName
);
text_identifier!(
    /// Name of a machine in the machine list (an engine's or a service back end's).
    MachineName
);
text_identifier!(
    /// Name of a declared service.
    ServiceName
);
text_identifier!(
    /// Name of a declared engine pool.
    PoolName
);
text_identifier!(
    /// Version of a back end's software. Versions are equal or not; they have no order.
    SoftwareVersion
);
text_identifier!(
    /// Name of a declared tenant.
    TenantName
);
text_identifier!(
    /// Name of a region, a group of zones.
    RegionName
);
text_identifier!(
    /// Name of a zone, unique across regions.
    ZoneName
);
text_identifier!(
    /// Identifier of a batch job, as callers see it (`batch_…`).
    JobId
);
text_identifier!(
    /// Identifier of one configuration change, chosen by its author before the first write.
    ChangeId
);

/// Random identifier of one run of a process. An address may be reused; an instance never is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Position of an accepted change in the configuration's history. Revision 0 is empty.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Returns the next revision.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Position of an item in its job, counted from 0.
pub type ItemIndex = u32;
