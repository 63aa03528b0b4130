//! Making keys and their digests, on this machine only.

use std::{
    fs::File,
    io::{self, Read},
};

use fuchsiamill_model::KeyDigest;

use crate::error::{Error, Result};

const KEY_BYTES: usize = 32;
const RANDOM_SOURCE: &str = "/dev/urandom";

/// A new random key, in hexadecimal digits.
pub fn make() -> Result<String> {
    let mut bytes = [0; KEY_BYTES];
    let failed = |e: io::Error| Error::File { file: RANDOM_SOURCE.into(), cause: e.to_string() };
    File::open(RANDOM_SOURCE).and_then(|mut f| f.read_exact(&mut bytes)).map_err(failed)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// The digest of the key on the standard input.
pub fn digest_of_input() -> Result<KeyDigest> {
    let mut key = String::new();
    let failed = |e: io::Error| Error::File { file: "standard input".into(), cause: e.to_string() };
    io::stdin().read_to_string(&mut key).map_err(failed)?;
    match key.trim() {
        "" => Err(Error::Usage("Give the key on the standard input.".into())),
        key => Ok(KeyDigest::of(key)),
    }
}
