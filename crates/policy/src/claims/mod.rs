//! At-most-once execution: claims on the idempotency keys of non-idempotent requests.
//!
//! A claim is a row in the platform's table. It is inserted on the condition that it is absent, before
//! any byte of the request is sent to a backend server. An entry host that finds another claim in the
//! row does not send the request.

mod batch;
mod cache;
mod exchange;
mod key;
mod limiter;
mod row;
mod sweep;
mod write;

pub use batch::{Batcher, Bounds, ClaimOutcome, Step, Submitted};
pub use exchange::{Claim, Held, Sent};
pub use key::{ClaimKey, IdempotencyKey, RequestDigest, Scope};
pub use row::{Answer, Body, ClaimId, ClaimRow, Progress, Verdict};
pub use sweep::{Bucket, IndexKey, IndexRow, RETENTION};
pub use write::{Batch, ClaimUpdate, Found, Op, OpId, Outcome, RowVersion, Write};

/// The result of parsing an idempotency key.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an idempotency key is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key is empty or too long.
    #[error("The idempotency key has {found} bytes; give it 1 to {max}.")]
    KeyLength {
        /// The length of the key, in bytes.
        found: usize,
        /// The maximum length, in bytes.
        max: usize,
    },
    /// The key holds a character that is not visible ASCII.
    #[error("The idempotency key may hold only visible ASCII characters; encode it.")]
    KeyCharacter,
}
