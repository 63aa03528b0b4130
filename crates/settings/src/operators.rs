//! Section `[operators]`: who may use the operator port.

use std::collections::BTreeMap;

use fuchsiamill_model::{KeyDigest, OperatorName};

use crate::{
    error::{Error, Result},
    section::Section,
};

const DIGEST: &str =
    "64 hexadecimal digits of the SHA-256 of the operator's key, from 'fuchsiamill key digest'";
const HIDDEN: &str = "(hidden)";

/// The operators and the digests of their keys; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Operators(BTreeMap<OperatorName, KeyDigest>);

impl Operators {
    /// The operator who holds a key.
    ///
    /// Every digest is compared, so that the time taken does not tell which one matched.
    pub fn holder(&self, key: &str) -> Option<&OperatorName> {
        let digest = KeyDigest::of(key);
        let mut holder = None;
        for (name, known) in &self.0 {
            if *known == digest {
                holder = Some(name);
            }
        }
        holder
    }

    /// The operators' names.
    pub fn names(&self) -> impl Iterator<Item = &OperatorName> {
        self.0.keys()
    }
}

impl TryFrom<Section<'_>> for Operators {
    type Error = Error;

    fn try_from(section: Section<'_>) -> Result<Self> {
        let check = section.clone();
        let entries: Vec<(OperatorName, String)> = section.entries("names of operators", DIGEST)?;
        if entries.is_empty() {
            return Err(check.missing("NAME", DIGEST));
        }
        let mut operators = BTreeMap::new();
        for (name, raw) in entries {
            let hidden = |_| check.refused(name.as_str(), HIDDEN, DIGEST);
            let digest = KeyDigest::try_from(raw.as_str()).map_err(hidden)?;
            if operators.values().any(|known| *known == digest) {
                let remedy = "two operators have the same key; give each a key of their own";
                return Err(check.clash(name.as_str(), remedy));
            }
            operators.insert(name, digest);
        }
        Ok(Self(operators))
    }
}
