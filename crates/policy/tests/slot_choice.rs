//! Slots of backend servers are never given out twice, nor on servers that may get no new work.

use fuchsiamill_model::{DataCentre, Host, HostName, HostState, Moment, Resources};
use fuchsiamill_policy::slots::{Intake, SlotTable};
use quickcheck::{Gen, QuickCheck};

const SLOTS: u32 = 8;

fn host(at: usize, state: HostState) -> Host {
    let addr = "127.0.0.1:1".parse().expect("an address");
    Host {
        name: name(at),
        pool: "p".parse().expect("a valid name"),
        rack: "r".parse().expect("a valid name"),
        data_centre: data_centre(at % 3),
        region: "north".parse().expect("a valid name"),
        backend: addr,
        worker: addr,
        slots: SLOTS,
        connections: 64,
        resources: Resources::default(),
        state,
    }
}

fn name(at: usize) -> HostName {
    format!("h{at}").parse().expect("a valid name")
}

fn data_centre(at: usize) -> DataCentre {
    format!("d{at}").parse().expect("a valid name")
}

fn slots_are_kept(seed: u64) -> bool {
    const HOSTS: usize = 5;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut states = [HostState::Serving; HOSTS];
    let mut intakes = [Intake::Open; HOSTS];
    let mut used = [0_u32; HOSTS];
    let mut table = SlotTable::default();
    for _ in 0..400 {
        let at = rng.usize(0..HOSTS);
        match rng.u8(0..10) {
            0 => states[at] = [HostState::Serving, HostState::Draining][rng.usize(0..2)],
            1 => intakes[at] = [Intake::Open, Intake::Trial, Intake::Closed][rng.usize(0..3)],
            2..5 if used[at] > 0 => {
                used[at] -= 1;
                table.release(&name(at));
            }
            _ => {}
        }
        let hosts: Vec<Host> = (0..HOSTS).map(|at| host(at, states[at])).collect();
        table.set_hosts(hosts.iter());
        (0..HOSTS).for_each(|at| table.set_intake(&name(at), intakes[at]));
        let free = |at: usize| match (states[at], intakes[at]) {
            (HostState::Serving, Intake::Open) => SLOTS.saturating_sub(used[at]),
            (HostState::Serving, Intake::Trial) => 1_u32.saturating_sub(used[at]),
            _ => 0,
        };
        let has_free = (0..HOSTS).any(|at| free(at) > 0);
        let Some(picked) = table.pick(Moment(0), &data_centre(0)) else {
            if has_free {
                return false;
            }
            continue;
        };
        let picked = (0..HOSTS).find(|at| name(*at) == picked).expect("a host of the pool");
        let least = (0..HOSTS).filter(|at| free(*at) > 0).map(|at| used[at]).min();
        if free(picked) == 0 || Some(used[picked]) != least {
            return false;
        }
        used[picked] += 1;
    }
    table.in_use() == used.iter().sum::<u32>()
}

#[test]
fn slots_are_never_overcommitted() {
    let rng = Gen::from_size_and_seed(8, 20_261_204);
    QuickCheck::new().rng(rng).tests(300).quickcheck(slots_are_kept as fn(u64) -> bool);
}

#[test]
fn load_is_spread_over_data_centres() {
    let mut table = SlotTable::default();
    let hosts: Vec<Host> = (0..9).map(|at| host(at, HostState::Serving)).collect();
    table.set_hosts(hosts.iter());
    let mut picks = [0; 3];
    for _ in 0..6 {
        let picked = table.pick(Moment(0), &data_centre(1)).expect("a free slot");
        let host = hosts.iter().find(|it| it.name == picked).expect("a host of the pool");
        let at = (0..3).find(|at| data_centre(*at) == host.data_centre).expect("a data centre");
        picks[at] += 1;
    }
    assert_eq!(picks, [2, 2, 2]);
}

#[test]
fn near_server_is_preferred_and_busy_server_is_skipped() {
    let mut table = SlotTable::default();
    let hosts: Vec<Host> = (0..3).map(|at| host(at, HostState::Serving)).collect();
    table.set_hosts(hosts.iter());
    assert_eq!(table.pick(Moment(0), &data_centre(2)), Some(name(2)));
    table.release(&name(2));
    table.set_busy(&name(2), Moment(50));
    assert_ne!(table.pick(Moment(49), &data_centre(2)), Some(name(2)));
    assert_eq!(table.pick(Moment(50), &data_centre(2)), Some(name(2)));
}
