//! The rate of table writes for claims, and the waiting time of a claim.

use fuchsiamill_model::{Incarnation, Moment, ServiceName, TeamName, WallTime};
use fuchsiamill_policy::claims::{
    Batcher, Bounds, ClaimId, ClaimKey, ClaimOutcome, ClaimRow, IdempotencyKey, Op, Outcome,
    Progress, RequestDigest, Scope, Step, Submitted, Write,
};
use quickcheck::{Gen, QuickCheck};

const BOUNDS: Bounds =
    Bounds { writes_per_second: 4, burst: 4, rows_per_write: 256, waiting: 1_024, remembered: 64 };

fn claim(number: u64) -> (ClaimKey, ClaimRow) {
    let scope = Scope::Team(TeamName::try_from("rota").unwrap());
    let key = IdempotencyKey::try_from(number.to_string().as_str()).unwrap();
    let row = ClaimRow {
        id: ClaimId(number.to_string()),
        entry: Incarnation::try_from("a-0").unwrap(),
        request: RequestDigest::of(&ServiceName::try_from("swaps").unwrap(), b"", b""),
        deadline: WallTime(0),
        progress: Progress::Claimed,
    };
    (ClaimKey::new(&scope, &key), row)
}

/// Submits a claim every `gap` ms for 30 s; returns the numbers of writes and of claims held.
fn run_claims(gap: u64) -> (u64, u64) {
    let mut batcher = Batcher::new(BOUNDS);
    let mut rng = fastrand::Rng::with_seed(gap);
    let (mut writes, mut held) = (0, 0);
    for now in 0..30_000 {
        if now % gap == 0 {
            let (key, row) = claim(now);
            assert!(matches!(batcher.submit(key, row, Moment(now + 2_000)), Submitted::Queued(_)));
        }
        if let Step::Write(batch) = batcher.next(Moment(now)) {
            writes += 1;
            let versions = batch.ops.iter().map(|op| op.id.0).collect();
            batcher.done(Moment(now), Outcome::Written(versions), &mut rng);
        }
        for (_, outcome) in batcher.take_outcomes() {
            let ClaimOutcome::Held(claim) = outcome else {
                panic!("the table answered: {outcome:?}")
            };
            let (key, update, _) = claim.send().lost("The answer was cut.");
            batcher.update(key, update);
            held += 1;
        }
    }
    (writes, held)
}

#[test]
fn writes_stay_within_the_rate_limit() {
    fn property(gap: u8) -> bool {
        let gap = u64::from(gap) + 4;
        let (writes, held) = run_claims(gap);
        let max_writes = 30 * u64::from(BOUNDS.writes_per_second) + u64::from(BOUNDS.burst);
        let begun = 30_000_u64.div_ceil(gap);
        let waiting_at_end = 1_000 / gap + 1;
        writes <= max_writes && held + waiting_at_end >= begun
    }
    let seed = 0xc1a1;
    println!("generator seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(32, seed))
        .tests(60)
        .quickcheck(property as fn(u8) -> bool);
}

#[test]
fn claim_after_an_idle_period_is_written_at_once() {
    let mut batcher = Batcher::new(BOUNDS);
    let (key, row) = claim(1);
    batcher.submit(key, row, Moment(2_000));
    assert!(matches!(batcher.next(Moment(0)), Step::Write(_)));
}

#[test]
fn unanswered_claim_ends_in_time_and_is_withdrawn() {
    let mut batcher = Batcher::new(BOUNDS);
    let mut rng = fastrand::Rng::with_seed(1);
    let (key, row) = claim(1);
    batcher.submit(key.clone(), row.clone(), Moment(2_000));
    for now in 0..=2_000 {
        if let Step::Write(_) = batcher.next(Moment(now)) {
            batcher.done(Moment(now), Outcome::Lost, &mut rng);
        }
    }
    let outcomes = batcher.take_outcomes();
    assert!(matches!(outcomes.as_slice(), [(_, ClaimOutcome::Unavailable)]), "{outcomes:?}");
    assert!(!batcher.is_settled(), "the write may have taken effect, so it must be withdrawn");
    let row = ClaimRow { id: ClaimId("repeat".into()), ..row };
    batcher.submit(key, row, Moment(9_000));
    let Step::Write(first) = batcher.next(Moment(6_000)) else {
        panic!("a write is expected after the backoff")
    };
    let withdrawn =
        matches!(&first.ops[..], [Op { write: Write::Insert(row), .. }] if row.id.0 == "1");
    assert!(withdrawn, "the first claim's row must be settled before the repeat: {first:?}");
    batcher.done(Moment(6_000), Outcome::Written(vec![7]), &mut rng);
    let Step::Write(second) = batcher.next(Moment(7_000)) else {
        panic!("the withdrawn row must be deleted")
    };
    assert!(matches!(&second.ops[..], [Op { write: Write::Delete(7), .. }]), "{second:?}");
    batcher.done(Moment(7_000), Outcome::Written(vec![8]), &mut rng);
    let Step::Write(third) = batcher.next(Moment(8_000)) else {
        panic!("the repeat must be written")
    };
    assert!(
        matches!(&third.ops[..], [Op { write: Write::Insert(row), .. }] if row.id.0 == "repeat")
    );
}
