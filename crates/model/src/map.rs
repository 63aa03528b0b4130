//! Hash collections with a fast, non-cryptographic hasher.

/// A hash map keyed by trusted names.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set of trusted names.
pub type FastSet<T> = rustc_hash::FxHashSet<T>;
