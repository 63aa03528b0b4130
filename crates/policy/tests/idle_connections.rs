//! Idle connections of all entry hosts leave connections for running work and for probes.

use fuchsiamill_model::{Host, HostState, Resources};
use fuchsiamill_policy::connections::max_idle;
use quickcheck::quickcheck;

fn host(connections: u32, slots: u32) -> Host {
    Host {
        name: "host-0".try_into().unwrap(),
        pool: "rota".try_into().unwrap(),
        rack: "rack-0".try_into().unwrap(),
        data_centre: "dc-0".try_into().unwrap(),
        region: "north".try_into().unwrap(),
        backend: "127.0.0.1:1".parse().unwrap(),
        worker: "127.0.0.1:2".parse().unwrap(),
        slots,
        connections,
        resources: Resources { millicores: 1, memory_mib: 1, accelerators: 0 },
        state: HostState::Serving,
    }
}

#[test]
fn eight_entry_hosts_keep_five_each_of_sixty_four() {
    assert_eq!(max_idle(&host(64, 8), 8), 5);
    assert_eq!(max_idle(&host(8, 8), 8), 0);
}

quickcheck! {
    fn idle_connections_of_all_entry_hosts_fit(connections: u16, slots: u8, entries: u8) -> bool {
        let (slots, entries) = (u64::from(slots), usize::from(entries.max(1)));
        let host = host(connections.into(), slots as u32);
        let idle = (max_idle(&host, entries) * entries) as u64;
        idle == 0 || idle + slots + entries as u64 <= u64::from(connections)
    }
}
