//! The hosts of a simulated site, and the faults that it meets.

use fuchsiamill_model::units::Millisecond;

/// The number and size of a site's hosts.
#[derive(Clone, Debug)]
pub struct SiteSize {
    /// Hosts in each queue's pool before the first job, in the order of the queues.
    pub hosts: Vec<u32>,
    /// Hosts in the spare pool, which are switched off.
    pub spare: u32,
    /// Hosts per rack.
    pub rack: u32,
    /// Processors per host; a host has as many MiB of memory as millicores.
    pub cores: u32,
    /// The run time of a task outside the rack of its data, in per cent of its run time in that rack.
    pub far_percent: u64,
    /// The value of `far_percent` in the coordinator's settings; at 100 it ignores racks when it places tasks.
    pub configured_far_percent: u64,
    /// Whether the coordinator sizes pools by their present demand.
    pub demand_pools: bool,
}

impl SiteSize {
    /// Returns a site of ten hosts per queue and eight that are switched off, with four hosts per rack.
    pub fn ten_hosts_per_queue(far_percent: u64) -> Self {
        Self {
            hosts: vec![10; 4],
            spare: 8,
            rack: 4,
            cores: 16,
            far_percent,
            configured_far_percent: far_percent,
            demand_pools: false,
        }
    }

    /// Returns a site of 350 hosts in four pools of 62 to 85 hosts and a spare pool of 56.
    pub fn uneven_pools() -> Self {
        Self { hosts: vec![85, 77, 70, 62], spare: 56, cores: 64, ..Self::ten_hosts_per_queue(150) }
    }
}

/// A fault to simulate. Times are since the start of the simulation.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The store confirms no transaction from the first time until the second.
    StoreUnavailable(Millisecond, Millisecond),
    /// This many of the hosts that are up go down, from the first time until the second.
    HostsDown(u32, Millisecond, Millisecond),
}
