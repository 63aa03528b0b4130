//! Running work converges to the weighted max-min shares, and a full queue affects only its own lane.

use fuchsiamill_model::{Moment, Slots, TeamName, team::Urgency};
use fuchsiamill_policy::shares::{
    Lane, LaneDemand, LaneSettings, Nearness, QueuedRequest, Queues, Ticket, max_min,
};
use quickcheck::{Gen, QuickCheck};

const TOLERANCE: f64 = 1e-6;

fn lane(at: usize) -> Lane {
    let name: TeamName = format!("t{at}").parse().expect("a valid name");
    Lane::Team(name)
}

fn settings(share: u32, max_queued: u32, urgency: Urgency) -> LaneSettings {
    LaneSettings { share, max_queued, urgency }
}

fn waiting(number: u64) -> QueuedRequest {
    QueuedRequest {
        ticket: Ticket { entry: "e0".parse().expect("a valid name"), number },
        ask: 0,
        data_centre: "d0".parse().expect("a valid name"),
        until: Moment(1_000),
        asked_at: Moment(0),
        is_asking: true,
    }
}

fn divides_by_weight(slots: u8, raw: Vec<(u8, u8)>) -> bool {
    let demands: Vec<LaneDemand> = raw
        .iter()
        .map(|(share, demand)| LaneDemand {
            share: u32::from(*share) + 1,
            demand: u32::from(*demand),
        })
        .collect();
    let allocated = max_min(u32::from(slots), &demands);
    let demand: u32 = demands.iter().map(|lane| lane.demand).sum();
    let total: f64 = allocated.iter().sum();
    let is_work_conserving = (total - f64::from(demand.min(u32::from(slots)))).abs() < TOLERANCE;
    let is_met = |at: usize| allocated[at] >= f64::from(demands[at].demand) - TOLERANCE;
    let per_weight = |at: usize| allocated[at] / f64::from(demands[at].share);
    let is_fair = (0..demands.len()).filter(|at| !is_met(*at)).all(|short| {
        (0..demands.len()).all(|other| per_weight(other) <= per_weight(short) + TOLERANCE)
    });
    let is_bounded =
        allocated.iter().zip(&demands).all(|(it, lane)| *it <= f64::from(lane.demand) + TOLERANCE);
    is_work_conserving && is_fair && is_bounded
}

#[test]
fn slots_are_divided_by_weight() {
    let rng = Gen::from_size_and_seed(8, 20_261_204);
    let property = divides_by_weight as fn(u8, Vec<(u8, u8)>) -> bool;
    QuickCheck::new().rng(rng).tests(2_000).quickcheck(property);
}

/// Runs full queues with work that ends at random; each lane's nearness to share must exceed 0.9.
fn converges_to_shares(seed: u64) -> bool {
    const SLOTS: Slots = 40;
    const ROUNDS: usize = 4_000;
    let mut rng = fastrand::Rng::with_seed(seed);
    let shares: Vec<u32> = (0..4).map(|_| rng.u32(1..10)).collect();
    let mut queues = Queues::default();
    for (at, share) in shares.iter().enumerate() {
        queues.set_lane(lane(at), settings(*share, 10, Urgency::Normal));
    }
    let mut number = 0;
    let mut running: Vec<Lane> = Vec::new();
    let mut nearness = Nearness::default();
    for _ in 0..ROUNDS {
        for at in 0..shares.len() {
            while queues.queued(&lane(at)) < 10 {
                number += 1;
                queues.enqueue(&lane(at), waiting(number)).expect("there is room");
            }
        }
        while running.len() < SLOTS as usize {
            let (lane, _) = queues.pop(|_| true).expect("a full queue");
            queues.started(&lane);
            running.push(lane);
        }
        for (lane, part, has) in queues.entitlements(SLOTS) {
            nearness.add(&lane, part, f64::from(has), 1);
        }
        for _ in 0..rng.usize(1..6) {
            let ended = running.swap_remove(rng.usize(0..running.len()));
            queues.ended(&ended);
        }
    }
    let is_near = nearness.iter().all(|(_, near)| near > 0.9);
    if !is_near {
        println!(
            "seed {seed}: shares {shares:?}, nearness {:?}",
            nearness.iter().collect::<Vec<_>>()
        );
    }
    is_near
}

#[test]
fn full_pool_converges_to_shares() {
    let rng = Gen::from_size_and_seed(8, 20_261_204);
    QuickCheck::new().rng(rng).tests(30).quickcheck(converges_to_shares as fn(u64) -> bool);
}

#[test]
fn burst_refuses_only_its_own_team() {
    let mut queues = Queues::default();
    queues.set_lane(lane(0), settings(1, 3, Urgency::Normal));
    queues.set_lane(lane(1), settings(1, 3, Urgency::Normal));
    queues.set_lane(Lane::Open, settings(1, 2, Urgency::Normal));
    let refused = (0..50).filter(|n| queues.enqueue(&lane(0), waiting(*n)).is_err()).count();
    assert_eq!(refused, 47);
    let refused = (50..60).filter(|n| queues.enqueue(&Lane::Open, waiting(*n)).is_err()).count();
    assert_eq!(refused, 8);
    assert!(queues.enqueue(&lane(1), waiting(70)).is_ok());
}

#[test]
fn urgent_lane_goes_first_and_only_while_it_may_start() {
    let mut queues = Queues::default();
    queues.set_lane(lane(0), settings(9, 9, Urgency::Normal));
    queues.set_lane(lane(1), settings(1, 9, Urgency::Urgent));
    for number in 0..4 {
        queues.enqueue(&lane((number % 2) as usize), waiting(number)).expect("there is room");
    }
    (0..5).for_each(|_| queues.started(&lane(1)));
    assert_eq!(queues.pop(|_| true).map(|it| it.0), Some(lane(1)));
    assert_eq!(queues.pop(|it| *it != lane(1)).map(|it| it.0), Some(lane(0)));
    assert_eq!(queues.pop(|_| false).map(|it| it.0), None);
}
