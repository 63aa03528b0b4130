//! Whether a job is accepted when it is posted.
//!
//! The coordinator computes for each pool how much work waits and how fast the pool does it ([`Capacities`]). Each entry
//! host admits posts within its share of the room that this leaves ([`Gate`]). See `docs/design/admission.md`.

mod budget;
mod capacity;
mod gate;
mod lookup;
mod posts;
mod retry;

pub use budget::Demand;
pub(crate) use capacity::HeldPools;
pub use capacity::{Capacities, LATE_WORK, PoolCapacity, WaitingWork, size_class};
pub use gate::{Basis, Gate, MAX_AGE_MS, Post, Reason, Refusal, Verdict};
pub use lookup::{Doubts, Found, Outcome, Step, after_lookup, before_refusal};
pub use posts::RecentPosts;
pub use retry::{MAX_AFTER_S, return_after_s};
