//! Races of the escrow that random interleavings hit too rarely.

use fuchsiamill_model::{EntryName, FastMap, Incarnation, Moment, Units, Version};
use fuchsiamill_policy::escrow::{
    EscrowRow, EscrowTiming, GrantId, Holder, HolderId, LimitChange, LoanAnswer, LoanAsk, LoanId,
    LoanRecall, LoanReturn, Reclaimer, Revision, Step, WriteOutcome,
};

fn entry(raw: &str) -> EntryName {
    raw.parse().expect("a valid name")
}

fn id(raw: &str, term: u64) -> HolderId {
    HolderId { entry: entry(raw), incarnation: incarnation(), term }
}

fn incarnation() -> Incarnation {
    "i0".parse().expect("a valid name")
}

fn write_in(steps: &[Step]) -> EscrowRow {
    let write = steps.iter().find_map(|step| match step {
        Step::Write { row, .. } => Some(row.clone()),
        _ => None,
    });
    write.expect("a write")
}

fn ask_in(steps: &[Step]) -> LoanAsk {
    let ask = steps.iter().find_map(|step| match step {
        Step::Ask(ask) => Some(ask.clone()),
        _ => None,
    });
    ask.expect("a loan is asked for")
}

fn returned_in(steps: &[Step]) -> Option<Units> {
    steps.iter().find_map(|step| match step {
        Step::Return(ret) => Some(ret.returned),
        _ => None,
    })
}

fn ask(borrower: &str, number: u64, want: Units) -> LoanAsk {
    let id = LoanId { borrower: id(borrower, 0), number };
    LoanAsk { id, lender: entry("a"), ask: number, want, has: 0 }
}

fn recalled_in(steps: &[Step]) -> Vec<LoanId> {
    let recalls = steps.iter().filter_map(|step| match step {
        Step::Recall(recall) => Some(recall.id.clone()),
        _ => None,
    });
    recalls.collect()
}

/// Returns a holder to which a row with a limit of `units` gave all units; acknowledged at time 1,000.
fn holder_with_units(units: Units) -> (Holder, EscrowRow) {
    let mut holder = Holder::new(id("a", 0), EscrowTiming::default(), Version(0));
    assert_eq!(holder.next(Moment(0), units, &[]), [Step::Read]);
    holder.handle_read(EscrowRow::new(units, Version(0)), Revision(1));
    let row = write_in(&holder.next(Moment(1_000), units, &[]));
    holder.handle_write(row.clone(), WriteOutcome::Applied(Revision(2)));
    assert_eq!(holder.free(Moment(1_000)), units);
    (holder, row)
}

#[test]
fn shrinking_write_that_takes_effect_after_a_read_is_safe() {
    let (mut holder, row) = holder_with_units(8);
    holder.next(Moment(2_000), 0, &[]);
    let shrunk = write_in(&holder.next(Moment(6_000), 0, &[]));
    assert_eq!(shrunk.held_by(&id("a", 0)), 0);
    holder.handle_write(shrunk, WriteOutcome::Unknown);
    assert_eq!(holder.next(Moment(7_000), 8, &[]), [Step::Read]);
    holder.handle_read(row, Revision(2));
    assert_eq!(holder.free(Moment(7_000)), 0, "the shrinking write may still land");
}

#[test]
fn late_answer_does_not_lengthen_a_loan() {
    let mut holder = Holder::new(id("b", 0), EscrowTiming::default(), Version(0));
    holder.next(Moment(0), 5, &[]);
    holder.handle_read_failure();
    let ask = ask_in(&holder.next(Moment(1_000), 5, &[entry("a")]));
    let settled_at = Some(Version(0));
    let answer = LoanAnswer { id: ask.id, ask: ask.ask, units: 5, settled_at };
    holder.handle_answer(Moment(5_900), &answer);
    assert_eq!(holder.free(Moment(5_900)), 5);
    assert_eq!(holder.free(Moment(6_000)), 0, "the loan began when it was asked for");
    assert!(holder.charge(Moment(6_000), GrantId(1), Moment(9_000)).is_none());
}

#[test]
fn late_reclaim_does_not_remove_the_new_term() {
    let (mut holder, row) = holder_with_units(8);
    let mut late_reclaim = row.clone();
    holder.lose_standing();
    assert_eq!(holder.free(Moment(2_000)), 0);
    assert_eq!(holder.next(Moment(2_000), 8, &[]), [Step::Read]);
    holder.handle_read(row, Revision(2));
    let adopted = write_in(&holder.next(Moment(3_000), 8, &[]));
    holder.handle_write(adopted.clone(), WriteOutcome::Applied(Revision(3)));
    assert_eq!(holder.free(Moment(3_000)), 8);
    assert_eq!(late_reclaim.reclaim(&id("a", 0)), 8);
    let mut after = adopted;
    assert_eq!(after.reclaim(&id("a", 0)), 0, "the row no longer has the old term");
    assert_eq!(after.held_by(&id("a", 1)), 8);
}

#[test]
fn reclaimer_restarts_its_wait_after_losing_standing() {
    let timing = EscrowTiming::default();
    let mut row = EscrowRow::new(8, Version(0));
    row.grow(&id("a", 0), 8);
    let live: FastMap<EntryName, Incarnation> = FastMap::default();
    let mut reclaimer = Reclaimer::default();
    let later = Moment(timing.reclaim_after() + 1);
    assert!(reclaimer.observe(Moment(0), &row, &live, &timing).is_empty());
    assert_eq!(reclaimer.clone().observe(later, &row, &live, &timing), [id("a", 0)]);
    reclaimer.lose_standing();
    assert!(reclaimer.observe(later, &row, &live, &timing).is_empty());
}

#[test]
fn lowered_limit_stops_work_until_a_later_read() {
    let (mut holder, row) = holder_with_units(8);
    holder.limit_changed(LimitChange::Lowered, Version(4));
    assert_eq!(holder.free(Moment(1_100)), 0);
    assert_eq!(holder.next(Moment(2_000), 1, &[]), [Step::Read]);
    holder.limit_changed(LimitChange::Lowered, Version(5));
    holder.handle_read(row, Revision(2));
    assert_eq!(holder.free(Moment(2_000)), 0, "the read began before the second change");
}

#[test]
fn raised_limit_does_not_stop_work() {
    let (mut holder, _) = holder_with_units(8);
    holder.limit_changed(LimitChange::Raised, Version(4));
    assert_eq!(holder.free(Moment(1_100)), 8);
}

#[test]
fn starved_borrower_gets_an_even_part() {
    let (mut lender, _) = holder_with_units(8);
    let now = Moment(1_000);
    for grant in 0..8 {
        lender.charge(now, GrantId(grant), Moment(60_000)).expect("a free unit");
    }
    lender.next(now, 20, &[]);
    assert_eq!(lender.lend(now, &ask("b", 1, 6)).units, 0);
    (0..6).for_each(|grant| lender.release(GrantId(grant)));
    assert_eq!(lender.free(now), 2, "four of six are reserved");
    assert_eq!(lender.lend(now, &ask("b", 2, 6)).units, 4);
}

#[test]
fn leaving_holder_gives_back_idle_units_at_once_and_used_ones_when_work_ends() {
    let (mut holder, row) = holder_with_units(8);
    holder.charge(Moment(1_000), GrantId(1), Moment(60_000)).expect("a free unit");
    holder.leave();
    assert!(holder.charge(Moment(2_000), GrantId(2), Moment(60_000)).is_none());
    assert_eq!(holder.next(Moment(2_000), 0, &[]), [Step::Read]);
    holder.handle_read(row, Revision(2));
    let idle_given_back = write_in(&holder.next(Moment(2_000), 0, &[]));
    assert_eq!(idle_given_back.sum(), 1);
    holder.handle_write(idle_given_back, WriteOutcome::Applied(Revision(3)));
    assert_eq!(holder.next(Moment(3_000), 0, &[]), []);
    assert!(!holder.has_left());
    holder.release(GrantId(1));
    let all_given_back = write_in(&holder.next(Moment(3_100), 0, &[]));
    assert_eq!(all_given_back.sum(), 0);
    holder.handle_write(all_given_back, WriteOutcome::Applied(Revision(4)));
    assert!(holder.has_left());
}

#[test]
fn loan_is_returned_when_its_lender_leaves() {
    let mut holder = Holder::new(id("b", 0), EscrowTiming::default(), Version(0));
    holder.next(Moment(0), 2, &[]);
    holder.handle_read_failure();
    let ask = ask_in(&holder.next(Moment(1_000), 2, &[entry("a")]));
    let answer = LoanAnswer { id: ask.id, ask: ask.ask, units: 2, settled_at: Some(Version(0)) };
    holder.handle_answer(Moment(1_000), &answer);
    holder.charge(Moment(1_000), GrantId(1), Moment(60_000)).expect("a lent unit");
    assert_eq!(returned_in(&holder.next(Moment(1_100), 2, &[entry("a")])), None);
    assert_eq!(returned_in(&holder.next(Moment(1_200), 2, &[entry("c")])), Some(1));
    assert!(holder.charge(Moment(1_200), GrantId(2), Moment(60_000)).is_none());
    holder.release(GrantId(1));
    assert_eq!(returned_in(&holder.next(Moment(1_300), 2, &[entry("c")])), Some(2));
}

#[test]
fn unit_is_given_in_the_order_of_requests() {
    let (mut lender, _) = holder_with_units(1);
    let now = Moment(1_000);
    lender.next(now, 0, &[]);
    let to_b = lender.lend(now, &ask("b", 1, 1));
    assert_eq!(to_b.units, 1);
    assert_eq!(lender.lend(now, &ask("c", 1, 1)).units, 0);
    assert_eq!(lender.lend(now, &ask("d", 1, 1)).units, 0);
    assert_eq!(lender.lend(now, &ask("c", 2, 1)).units, 0);
    assert_eq!(recalled_in(&lender.next(now, 1, &[])), std::slice::from_ref(&to_b.id));
    lender.handle_return(&LoanReturn { id: to_b.id, lender: entry("a"), returned: 1 });
    assert_eq!(lender.free(now), 0, "its own queue began to wait after c and d");
    assert_eq!(lender.lend(now, &ask("d", 2, 1)).units, 0, "c asked before d");
    let to_c = lender.lend(now, &ask("c", 3, 1));
    assert_eq!(to_c.units, 1);
    lender.handle_return(&LoanReturn { id: to_c.id, lender: entry("a"), returned: 1 });
    let to_d = lender.lend(now, &ask("d", 3, 1));
    assert_eq!(to_d.units, 1);
    assert_eq!(lender.lend(now, &ask("b", 2, 1)).units, 0);
    lender.handle_return(&LoanReturn { id: to_d.id, lender: entry("a"), returned: 1 });
    assert_eq!(lender.free(now), 1, "its own queue began to wait before b");
}

#[test]
fn recalled_loan_is_returned_after_a_grace_period() {
    let mut holder = Holder::new(id("b", 0), EscrowTiming::default(), Version(0));
    let peers = [entry("a")];
    holder.next(Moment(0), 2, &[]);
    holder.handle_read_failure();
    let ask = ask_in(&holder.next(Moment(1_000), 2, &peers));
    let recall = LoanRecall { id: ask.id.clone() };
    let answer = LoanAnswer { id: ask.id, ask: ask.ask, units: 2, settled_at: Some(Version(0)) };
    holder.handle_answer(Moment(1_000), &answer);
    holder.charge(Moment(1_000), GrantId(1), Moment(60_000)).expect("a lent unit");
    holder.handle_recall(Moment(1_000), &recall);
    assert_eq!(returned_in(&holder.next(Moment(1_050), 1, &peers)), None);
    assert_eq!(holder.free(Moment(1_050)), 1);
    assert_eq!(returned_in(&holder.next(Moment(1_200), 1, &peers)), Some(1));
    holder.release(GrantId(1));
    assert_eq!(returned_in(&holder.next(Moment(1_200), 1, &peers)), Some(2));
}

#[test]
fn row_is_read_again_at_once_after_a_conflict() {
    let mut holder = Holder::new(id("a", 0), EscrowTiming::default(), Version(0));
    assert_eq!(holder.next(Moment(0), 5, &[]), [Step::Read]);
    holder.handle_read(EscrowRow::new(8, Version(0)), Revision(1));
    let row = write_in(&holder.next(Moment(10), 5, &[]));
    holder.handle_write(row, WriteOutcome::Conflict);
    assert_eq!(holder.next(Moment(20), 5, &[]), [Step::Read]);
}

#[test]
fn loan_is_asked_for_while_a_write_has_to_wait() {
    let limit = 100;
    let mut holder = Holder::new(id("a", 0), EscrowTiming::default(), Version(0));
    holder.next(Moment(0), 1, &[]);
    holder.handle_read(EscrowRow::new(limit, Version(0)), Revision(1));
    let row = write_in(&holder.next(Moment(1_000), 1, &[]));
    let held = row.held_by(&id("a", 0));
    holder.handle_write(row, WriteOutcome::Applied(Revision(2)));
    let peers = [entry("b")];
    let steps = holder.next(Moment(1_010), held + 5, &peers);
    assert_eq!(ask_in(&steps).want, 5, "the next write is due at 1,250: {steps:?}");
}

#[test]
fn unused_loan_is_returned_before_the_peak_of_another_pool_is_over() {
    let mut holder = Holder::new(id("b", 0), EscrowTiming::default(), Version(0));
    holder.next(Moment(0), 5, &[]);
    holder.handle_read_failure();
    let ask = ask_in(&holder.next(Moment(1_000), 5, &[entry("a")]));
    let answer = LoanAnswer { id: ask.id, ask: ask.ask, units: 5, settled_at: Some(Version(0)) };
    holder.handle_answer(Moment(1_001), &answer);
    assert_eq!(returned_in(&holder.next(Moment(1_100), 0, &[entry("a")])), None);
    assert_eq!(returned_in(&holder.next(Moment(1_500), 0, &[entry("a")])), Some(5));
}
