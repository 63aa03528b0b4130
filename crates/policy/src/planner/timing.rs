//! Expected times of work on one host.

use fuchsiamill_model::Millisecond;
use serde::{Deserialize, Serialize};

/// Expected times of work on one host, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timing {
    /// From the last new request until the host has no work left.
    pub drain: Millisecond,
    /// From the reboot request until the host is up again.
    pub reboot: Millisecond,
    /// The checks after the reboot.
    pub check: Millisecond,
}
