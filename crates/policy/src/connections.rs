//! How many connections an entry host may keep open to a backend server that works for all of them.

use fuchsiamill_model::Host;

/// Connections in use and connections that are just closing, as a multiple of the server's slots.
const IN_USE: u32 = 2;

/// The most idle connections that one of `entry_hosts` keeps to the backend server of `host`.
///
/// What the server accepts is left for work in its slots, for connections that close while their
/// successors open, and for one probe of each entry host; the rest is split evenly.
pub fn max_idle(host: &Host, entry_hosts: usize) -> usize {
    let entry_hosts = u32::try_from(entry_hosts).unwrap_or(u32::MAX).max(1);
    let kept = host.slots.saturating_mul(IN_USE).saturating_add(entry_hosts);
    (host.connections.saturating_sub(kept) / entry_hosts) as usize
}
