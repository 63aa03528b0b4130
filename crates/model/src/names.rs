//! Checked names, kept as shared immutable strings.

use std::{borrow::Borrow, fmt};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

const MAX_NAME_BYTES: usize = 64;

fn checked(kind: &'static str, raw: &str) -> Result<SmolStr> {
    if raw.is_empty() || raw.len() > MAX_NAME_BYTES {
        return Err(Error::NameLength { kind, found: raw.len(), max: MAX_NAME_BYTES });
    }
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if !raw.bytes().all(allowed) {
        return Err(Error::NameCharacter { kind, name: raw.into() });
    }
    Ok(SmolStr::new(raw))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(raw: &str) -> Result<Self> {
                checked($kind, raw).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(raw: String) -> Result<Self> {
                Self::try_from(raw.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = Error;

            fn from_str(raw: &str) -> Result<Self> {
                Self::try_from(raw)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", self.0.as_str())
            }
        }
    };
}

name_type!(/// A host of the fleet: a worker with one backend server on it.
    HostName, "host");
name_type!(/// One of fuchsiamill's own entry hosts.
    EntryName, "entry host");
name_type!(/// One run of an entry host's process; a restart gets a new one.
    Incarnation, "incarnation");
name_type!(/// A pool of hosts.
    PoolName, "pool");
name_type!(/// A service that callers ask for; served by one pool.
    ServiceName, "service");
name_type!(/// A team of callers.
    TeamName, "team");
name_type!(/// A rack of hosts, the smallest failure domain.
    RackName, "rack");
name_type!(/// A data centre, a failure domain of racks.
    DataCentre, "data centre");
name_type!(/// A region of data centres.
    Region, "region");
name_type!(/// The public id of a key; says nothing of the key itself.
    KeyId, "key id");
name_type!(/// An accepted job.
    JobId, "job");
name_type!(/// What a team calls jobs of the same sort, to learn their size from each other.
    JobKind, "job kind");
name_type!(/// A plan that waits to be confirmed or is being carried out.
    PlanId, "plan");
name_type!(/// An operator, as the audit trail names them.
    OperatorName, "operator");
