//! Whether a coordinator knows that it still holds its lease.

use fuchsiamill_model::units::{Millisecond, Moment};

use crate::timing::without_drift;

/// What a coordinator knows about its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenure {
    /// No other process can have taken it.
    Held,
    /// Another process may have taken it and started what waits here.
    Unknown,
}

impl Tenure {
    /// Returns what is known at `now`. `confirmed` is when the last transaction was begun that took effect under the lease. Another
    /// process takes the lease only if it has seen no further one for `silence_ms`, in milliseconds.
    pub fn at(confirmed: Option<Moment>, silence_ms: Millisecond, now: Moment) -> Self {
        match confirmed.is_some_and(|it| now.since(it) < without_drift(silence_ms)) {
            true => Tenure::Held,
            false => Tenure::Unknown,
        }
    }
}
