//! Digests of keys. A key itself is never stored, logged or compared.

use std::{
    fmt,
    hash::{Hash, Hasher},
    str::FromStr,
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::error::{Error, Result};

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a key. Equality takes constant time.
#[derive(Clone, Copy, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a presented key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The first eight bytes, to find candidates that are then compared whole.
    pub fn prefix(&self) -> u64 {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(prefix)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl TryFrom<&str> for KeyDigest {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self> {
        if raw.len() != DIGEST_BYTES * 2 || !raw.is_ascii() {
            return Err(Error::Digest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, at) in digest.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&raw[at..at + 2], 16).map_err(|_| Error::Digest)?;
        }
        Ok(Self(digest))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = Error;

    fn try_from(raw: String) -> Result<Self> {
        Self::try_from(raw.as_str())
    }
}

impl FromStr for KeyDigest {
    type Err = Error;

    fn from_str(raw: &str) -> Result<Self> {
        Self::try_from(raw)
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
