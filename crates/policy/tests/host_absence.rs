//! Checks which hosts leave a pool without a plan: at most the limit, none by a list that flaps, and that hosts
//! return only after the list has reported them live and they passed a probe.

mod fleets;

use fleets::{Shape, host};
use fuchsiamill_model::{Host, HostState, Millisecond, Moment};
use fuchsiamill_policy::{
    absence::{HostObservation, Limits, Next, PoolWatch, WorkHealth},
    backend_state::Listed,
    waves::{Health, Probe},
};
use quickcheck::{Gen, QuickCheck, Testable};

const LIMITS: Limits = Limits { absent: 1_000, back: 2_000, max_percent: 30 };
const POLL_INTERVAL: Millisecond = 100;

fn check<T: Testable>(property: T) {
    let seed = 0x0ab5;
    println!("generator seed {seed}");
    QuickCheck::new().rng(Gen::from_size_and_seed(300, seed)).tests(300).quickcheck(property);
}

fn pool(hosts: usize) -> Vec<Host> {
    let shape = Shape { hosts, pools: 1, ..Shape::today() };
    (0..hosts).map(|at| host(&shape, at)).collect()
}

/// Evaluates the pool once and applies the decisions at once. Returns how many there were.
fn poll(
    watch: &mut PoolWatch,
    hosts: &mut [Host],
    (listed, work_health): (&[Listed], &[WorkHealth]),
    now: Moment,
) -> usize {
    let probe = Some(Probe { at: now, in_flight: 0, healthy: Health::Good });
    let observation = |(at, host)| HostObservation {
        host,
        listed: Some(listed[at]),
        work_health: work_health[at],
        probe,
    };
    let observations: Vec<_> = hosts.iter().enumerate().map(observation).collect();
    let Next::Decide(decisions) = watch.next(&observations, now) else { return 0 };
    for decision in &decisions {
        let host = hosts.iter_mut().find(|it| it.name == decision.host).expect("a host");
        let fuchsiamill_model::Change::SetHostState { state, .. } = decision.change else {
            panic!("{decision:?}")
        };
        host.state = state;
    }
    decisions.len()
}

fn out(hosts: &[Host]) -> usize {
    hosts.iter().filter(|it| it.state != HostState::Serving).count()
}

#[test]
fn no_more_hosts_are_out_than_the_cap() {
    fn property(size: u8, events: Vec<(u8, u8)>) -> bool {
        let size = usize::from(size % 20) + 1;
        let (mut hosts, mut watch) = (pool(size), PoolWatch::new(LIMITS));
        let (mut listed, mut work_health) =
            (vec![Listed::Live; size], vec![WorkHealth::Healthy; size]);
        let mut now = Moment(0);
        events.into_iter().all(|(at, event)| {
            let at = usize::from(at) % size;
            match event % 5 {
                0 => listed[at] = Listed::Live,
                1 => listed[at] = Listed::Leaving,
                2 => listed[at] = Listed::Absent,
                3 => work_health[at] = WorkHealth::Failing,
                _ => listed = vec![Listed::Absent; size],
            }
            now = now + u64::from(event) * POLL_INTERVAL;
            poll(&mut watch, &mut hosts, (&listed, &work_health), now);
            out(&hosts) <= (size * 3 / 10).max(1).min(size - 1)
        })
    }
    check(property as fn(u8, Vec<(u8, u8)>) -> bool);
}

#[test]
fn list_that_flaps_faster_than_the_limit_changes_nothing() {
    fn property(spans: Vec<u8>) -> bool {
        let (mut hosts, mut watch) = (pool(10), PoolWatch::new(LIMITS));
        let work_health = vec![WorkHealth::Healthy; 10];
        let mut listed = vec![Listed::Live; 10];
        let mut now = Moment(0);
        spans.into_iter().all(|span| {
            listed[3] = if listed[3] == Listed::Live { Listed::Absent } else { Listed::Live };
            (0..1 + u64::from(span) % (LIMITS.absent / POLL_INTERVAL)).all(|_| {
                now = now + POLL_INTERVAL;
                poll(&mut watch, &mut hosts, (&listed, &work_health), now) == 0
            })
        })
    }
    check(property as fn(Vec<u8>) -> bool);
}

#[test]
fn absent_host_returns_only_after_the_list_has_reported_it_live_for_the_limit() {
    let (mut hosts, mut watch) = (pool(10), PoolWatch::new(LIMITS));
    let work_health = vec![WorkHealth::Healthy; 10];
    let mut listed = vec![Listed::Live; 10];
    listed[3] = Listed::Leaving;
    let at = |watch: &mut PoolWatch, hosts: &mut [Host], listed: &[Listed], ms| {
        poll(watch, hosts, (listed, &work_health), Moment(ms))
    };
    assert_eq!(at(&mut watch, &mut hosts, &listed, 0), 0);
    assert_eq!(at(&mut watch, &mut hosts, &listed, 999), 0);
    assert_eq!(at(&mut watch, &mut hosts, &listed, 1_000), 1);
    assert_eq!(hosts[3].state, HostState::Absent);
    listed[3] = Listed::Live;
    assert_eq!(at(&mut watch, &mut hosts, &listed, 1_100), 0);
    assert_eq!(at(&mut watch, &mut hosts, &listed, 3_099), 0);
    assert_eq!(at(&mut watch, &mut hosts, &listed, 3_100), 1);
    assert_eq!(hosts[3].state, HostState::Serving);
}

#[test]
fn wrong_list_does_not_keep_a_failing_host_in_service() {
    let (mut hosts, mut watch) = (pool(10), PoolWatch::new(LIMITS));
    let mut work_health = vec![WorkHealth::Healthy; 10];
    let listed = vec![Listed::Absent; 10];
    poll(&mut watch, &mut hosts, (&listed, &work_health), Moment(0));
    work_health[3] = WorkHealth::Failing;
    poll(&mut watch, &mut hosts, (&listed, &work_health), Moment(LIMITS.absent));
    assert_eq!(hosts[3].state, HostState::SetAside);
    poll(&mut watch, &mut hosts, (&listed, &work_health), Moment(2 * LIMITS.absent));
    assert_eq!(out(&hosts), 1);
}

#[test]
fn time_without_a_copy_of_the_list_does_not_count() {
    let (hosts, mut watch) = (pool(2), PoolWatch::new(LIMITS));
    let observation = |listed| HostObservation {
        host: &hosts[0],
        listed,
        work_health: WorkHealth::Healthy,
        probe: None,
    };
    let other =
        HostObservation { listed: Some(Listed::Live), host: &hosts[1], ..observation(None) };
    let polls = [(0, Some(Listed::Absent)), (600, None), (1_200, Some(Listed::Absent))];
    for (ms, listed) in polls {
        assert_eq!(watch.next(&[observation(listed), other], Moment(ms)), Next::Keep);
    }
}
