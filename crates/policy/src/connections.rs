//! The number of idle connections that an entry host may keep open to a backend server. All entry hosts share the
//! connections that the server accepts.

use fuchsiamill_model::Host;

/// Connections reserved for each slot: one in use and one that is closing.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// Returns the maximum number of idle connections that each of `entry_hosts` keeps to the backend server of `host`.
///
/// Of the connections that the server accepts, some are reserved for work in its slots, for
/// connections that close while their successors open, and for one probe of each entry host; the
/// rest is divided evenly.
pub fn max_idle(host: &Host, entry_hosts: usize) -> usize {
    let entry_hosts = u32::try_from(entry_hosts).unwrap_or(u32::MAX).max(1);
    let reserved = host.slots.saturating_mul(CONNECTIONS_PER_SLOT).saturating_add(entry_hosts);
    (host.connections.saturating_sub(reserved) / entry_hosts) as usize
}
