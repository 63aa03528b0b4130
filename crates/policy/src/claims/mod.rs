//! At most once: claims on the idempotency keys of non-idempotent requests.
//!
//! A claim is a row in the platform's table, written on the condition that it is absent, before
//! any byte of the request goes to a backend server. Whoever finds the row taken never sends.

mod batch;
mod exchange;
mod key;
mod known;
mod pace;
mod row;
mod sweep;
mod write;

pub use batch::{Batcher, Bounds, ClaimOutcome, Step, Submitted};
pub use exchange::{Claim, Held, Sent};
pub use key::{ClaimKey, IdempotencyKey, RequestDigest, Scope};
pub use row::{Answer, Body, ClaimId, ClaimRow, Progress, Verdict};
pub use sweep::{Bucket, IndexKey, IndexRow, RETENTION};
pub use write::{Batch, ClaimUpdate, Found, Op, OpId, Outcome, RowVersion, Write};

/// The result of a check in this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an idempotency key was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key is empty or too long.
    #[error("The idempotency key has {found} bytes; give it 1 to {max}.")]
    KeyLength {
        /// The length found, in bytes.
        found: usize,
        /// The longest allowed, in bytes.
        max: usize,
    },
    /// The key holds a character that is not visible ASCII.
    #[error("The idempotency key may hold only visible ASCII characters; encode it.")]
    KeyCharacter,
}
