//! Rendezvous hashing: every host works out the same owner of a pool, and when a host goes only its
//! pools move.

use std::hash::{Hash, Hasher};

use fuchsiamill_model::{EntryName, PoolName};

/// The owner of a pool among `members`, or `None` when there are none.
pub fn owner<'a>(
    pool: &PoolName,
    members: impl IntoIterator<Item = &'a EntryName>,
) -> Option<&'a EntryName> {
    highest_weight(pool.as_str(), members)
}

/// The member of `members` that comes first for `key`, or `None` when there are none.
pub fn highest_weight<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a EntryName>,
) -> Option<&'a EntryName> {
    members.into_iter().max_by_key(|member| (weight(key, member), *member))
}

fn weight(key: &str, member: &EntryName) -> u64 {
    let mut hasher = Fnv::default();
    key.hash(&mut hasher);
    member.as_str().hash(&mut hasher);
    mix(hasher.finish())
}

/// FNV-1a, because the weight must be the same in every process and version.
struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Spreads the bits of names that differ only in their last letters.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
