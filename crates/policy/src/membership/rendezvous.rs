//! Rendezvous hashing: all hosts compute the same owner of a pool, and when a host leaves, only its
//! pools change owner.

use std::hash::{Hash, Hasher};

use fuchsiamill_model::{EntryName, PoolName};

/// Returns the owner of a pool among `members`; `None` when there are none.
pub fn owner<'a>(
    pool: &PoolName,
    members: impl IntoIterator<Item = &'a EntryName>,
) -> Option<&'a EntryName> {
    highest_weight(pool.as_str(), members)
}

/// Returns the member with the highest rendezvous weight for `key`; `None` when there are none.
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

/// FNV-1a: unlike the standard hasher, the same in every process and version.
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

/// Mixes the bits of a hash, so that names that differ only in their last letters get unrelated weights.
fn mix(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
