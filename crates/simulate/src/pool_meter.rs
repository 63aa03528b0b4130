//! The host seconds of pools, and what they are held for.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{HostState, Name, coordinator::PoolNeed};
use fuchsiamill_model::units::Millisecond;

use crate::machine::Machine;

/// The host seconds of a pool while jobs arrive. The parts that follow `packed_s` add up to the rest of `held_s`, each
/// with what the parts before it leave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolTime {
    /// Hosts in the pool or moving to it.
    pub held_s: f64,
    /// Hosts that the tasks which run or could run need when they are packed anew.
    pub packed_s: f64,
    /// Of the hosts held, those for the packed tasks. Where work waits, these are fewer than `packed_s`.
    pub work_s: f64,
    /// For the sum of present work with its headroom.
    pub headroom_s: f64,
    /// For work that is expected.
    pub expected_s: f64,
    /// Because they were needed recently.
    pub recent_s: f64,
    /// Beyond that, moving.
    pub moving_s: f64,
    /// Beyond that, idle.
    pub idle_s: f64,
    /// Beyond that, with tasks: those that the work occupies beyond what it would fill.
    pub spread_s: f64,
    /// Of the hosts held, those that have nothing but long-running tasks.
    pub lasting_s: f64,
}

/// Sums up the host seconds of the pools.
#[derive(Default)]
pub(crate) struct PoolMeter {
    pools: BTreeMap<Name, PoolTime>,
}

/// The state of the hosts of one pool.
#[derive(Default)]
struct Hosts {
    held: u64,
    moving: u64,
    idle: u64,
    lasting: u64,
}

impl PoolMeter {
    /// Counts the hosts for `ms` milliseconds.
    pub(crate) fn count(&mut self, machines: &[Machine], needs: &[PoolNeed], ms: Millisecond) {
        let mut hosts: BTreeMap<&Name, Hosts> = BTreeMap::new();
        for machine in machines {
            let is_lasting = |it: &Name| it.starts_with("lasting");
            let it = hosts.entry(&machine.pool).or_default();
            let is_up = machine.state == HostState::Up;
            it.held += 1;
            it.moving += u64::from(machine.state == HostState::Moving);
            it.idle += u64::from(is_up && machine.running.is_empty());
            let is_only_lasting = machine.running.keys().all(|it| is_lasting(&it.job));
            it.lasting += u64::from(!machine.running.is_empty() && is_only_lasting);
        }
        for need in needs.iter().filter(|it| it.pool != "spare") {
            let hosts = hosts.remove(&need.pool).unwrap_or_default();
            let pool = self.pools.entry(need.pool.clone()).or_default();
            let mut left = hosts.held;
            let mut part = |sum: &mut f64, most: u64| {
                let part = left.min(most);
                left -= part;
                *sum += (part * ms) as f64 / 1_000.0;
                part
            };
            let work = part(&mut pool.work_s, need.packed);
            let summed = part(&mut pool.headroom_s, need.present_hosts.saturating_sub(work));
            let wanted = need.wanted.saturating_sub(work + summed);
            let wanted = part(&mut pool.expected_s, wanted) + work + summed;
            part(&mut pool.recent_s, need.kept.saturating_sub(wanted));
            part(&mut pool.moving_s, hosts.moving);
            part(&mut pool.idle_s, hosts.idle);
            part(&mut pool.spread_s, u64::MAX);
            let seconds = |hosts: u64| (hosts * ms) as f64 / 1_000.0;
            pool.held_s += seconds(hosts.held);
            pool.packed_s += seconds(need.packed);
            pool.lasting_s += seconds(hosts.lasting);
        }
    }

    pub(crate) fn finish(&mut self) -> BTreeMap<Name, PoolTime> {
        std::mem::take(&mut self.pools)
    }
}
