//! The parts of a claim: the scope of the callers, their idempotency key and the digest of the request.

use std::fmt;

use fuchsiamill_model::{KeyDigest, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{Error, Result};

const MAX_KEY_BYTES: usize = 255;

/// A caller's key for one non-idempotent request: 1 to 255 visible ASCII characters.
#[derive(Clone, PartialEq, Eq)]
pub struct IdempotencyKey(String);

impl TryFrom<&str> for IdempotencyKey {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self> {
        if raw.is_empty() || raw.len() > MAX_KEY_BYTES {
            return Err(Error::KeyLength { found: raw.len(), max: MAX_KEY_BYTES });
        }
        if !raw.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::KeyCharacter);
        }
        Ok(Self(raw.into()))
    }
}

impl fmt::Debug for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("IdempotencyKey(..)")
    }
}

/// The namespace of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Scope {
    /// The callers of one team.
    Team(TeamName),
    /// The callers of one service that is open to all.
    Open(ServiceName),
}

/// The key of a claim's row in the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey(String);

impl ClaimKey {
    /// Returns the key of the row for an idempotency key.
    pub fn new(scope: &Scope, key: &IdempotencyKey) -> Self {
        let digest = KeyDigest::of(&key.0);
        match scope {
            Scope::Team(team) => Self(format!("claim/{team}/{digest}")),
            Scope::Open(service) => Self(format!("claim-open/{service}/{digest}")),
        }
    }

    /// Returns the key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The digest of a request's service, content type and body, which tells a repeat from another request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 16]);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn of(service: &ServiceName, content_type: &[u8], body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for part in [service.as_str().as_bytes(), content_type, body] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let full: [u8; 32] = hash.finalize().into();
        let mut digest = [0; 16];
        digest.copy_from_slice(&full[..16]);
        Self(digest)
    }
}
