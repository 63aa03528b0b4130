//! The hosts that whole tasks need when they are packed on empty hosts.

use fuchsiamill_model::Resources;

use super::demand::Load;

/// Room beyond the expected demand, in per cent, since tasks do not fill hosts evenly.
const HEADROOM_PERCENT: u64 = 15;

/// The fewest packed hosts from which the room that tasks leave unused is taken: with fewer, the last host, which may be
/// nearly empty, would count for too much.
const MIN_PACKED_HOSTS: u64 = 4;

/// A host's room is counted in this many parts. The cost of packing grows with their square, not with the number of tasks.
const PARTS: usize = 128;

/// Returns how many hosts of this capacity hold tasks of these sizes and numbers: the largest tasks first, each on the
/// fullest host that has room. Sizes are rounded up to whole parts of a host in their scarcest dimension. A task that is
/// larger than a host counts as one host.
pub fn packed_hosts(tasks: &[(Resources, u64)], host: Resources) -> u64 {
    let mut tasks_of = [0; PARTS + 1];
    for (size, count) in tasks {
        tasks_of[parts_of(*size, host)] += count;
    }
    // Hosts by the parts that are free on them.
    let mut hosts_with = [0; PARTS + 1];
    let mut hosts = 0;
    for size in (1..=PARTS).rev().filter(|it| tasks_of[*it] > 0) {
        let mut left: u64 = tasks_of[size];
        for free in size..PARTS {
            let on_each = (free / size) as u64;
            let filled = hosts_with[free].min(left / on_each);
            hosts_with[free] -= filled;
            hosts_with[free % size] += filled;
            left -= filled * on_each;
            if left > 0 && hosts_with[free] > 0 {
                hosts_with[free] -= 1;
                hosts_with[free - size * left as usize] += 1;
                left = 0;
            }
        }
        let on_each = (PARTS / size) as u64;
        hosts_with[PARTS % size] += left / on_each;
        if !left.is_multiple_of(on_each) {
            hosts_with[PARTS - size * (left % on_each) as usize] += 1;
        }
        hosts += left.div_ceil(on_each);
    }
    hosts
}

/// How much of a host's processors tasks fill: `filled` millicores on `hosts` hosts.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostRoom {
    filled: u64,
    hosts: u64,
}

impl HostRoom {
    /// Returns the room of hosts that work fills except for a fixed headroom.
    pub(super) fn with_headroom(host: Resources) -> Self {
        let filled = u64::from(host.millicores.max(1)) * 100;
        Self { filled, hosts: 100 + HEADROOM_PERCENT }
    }

    /// Returns the room that these tasks fill when they are packed on `packed` hosts.
    pub(super) fn packed(tasks: &[(Resources, u64)], packed: u64, host: Resources) -> Self {
        let sum = |load: Load, it: &(Resources, u64)| load.plus(Load::of(it.0, it.1));
        let filled = tasks.iter().fold(Load::default(), sum).millicores_on(host);
        if packed < MIN_PACKED_HOSTS || filled == 0 {
            return Self::with_headroom(host);
        }
        Self { filled, hosts: packed }
    }

    /// Returns how many hosts this work needs, in millicores.
    pub(super) fn hosts_for(self, work: u64) -> u64 {
        let hosts = u128::from(work) * u128::from(self.hosts);
        hosts.div_ceil(u128::from(self.filled)).try_into().unwrap_or(u64::MAX)
    }
}

pub(super) fn with_headroom(millicores: u64) -> u64 {
    millicores.saturating_mul(100 + HEADROOM_PERCENT) / 100
}

/// Returns the parts of a host that a task takes, at least one.
fn parts_of(size: Resources, host: Resources) -> usize {
    let parts = |part: u32, of: u32| match of {
        0 => 0,
        of => (u64::from(part) * PARTS as u64).div_ceil(of.into()),
    };
    let most = parts(size.millicores, host.millicores)
        .max(parts(size.memory_mib, host.memory_mib))
        .max(parts(size.accelerators, host.accelerators));
    most.clamp(1, PARTS as u64) as usize
}
