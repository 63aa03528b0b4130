//! New work stops on any signal that a server is leaving, and resumes only after a newer successful probe.

use fuchsiamill_model::Moment;
use fuchsiamill_policy::backend_state::{
    BackendState, Cause, Intake, Listed, ProbeResult, ServerState,
};
use quickcheck::{Gen, QuickCheck};

#[test]
fn each_signal_alone_stops_new_work() {
    let mut by_list = BackendState::default();
    by_list.set_listed(Listed::Leaving);
    assert_eq!(by_list.intake(), Intake::Closed(Cause::List));

    let mut by_answer = BackendState::default();
    by_answer.record_answer(Moment(1), ServerState::Leaving);
    assert_eq!(by_answer.intake(), Intake::Closed(Cause::Said));

    let mut by_probe = BackendState::default();
    by_probe.record_probe(Moment(1), Moment(2), ProbeResult::Answered(ServerState::Leaving));
    assert_eq!(by_probe.intake(), Intake::Closed(Cause::Said));

    let mut by_silence = BackendState::default();
    by_silence.record_probe(Moment(1), Moment(2), ProbeResult::Missed);
    assert_eq!(by_silence.intake(), Intake::Open);
    by_silence.record_probe(Moment(3), Moment(4), ProbeResult::Missed);
    assert_eq!(by_silence.intake(), Intake::Closed(Cause::Silent));
}

#[test]
fn a_lagging_host_list_does_not_resume_new_work() {
    let mut state = BackendState::default();
    state.record_answer(Moment(10), ServerState::Leaving);
    state.set_listed(Listed::Live);
    assert_eq!(state.intake(), Intake::Closed(Cause::Said));
}

#[test]
fn a_probe_begun_before_the_signal_does_not_resume_new_work() {
    let mut state = BackendState::default();
    state.record_answer(Moment(10), ServerState::Leaving);
    state.record_probe(Moment(9), Moment(11), ProbeResult::Answered(ServerState::Serving));
    assert_eq!(state.intake(), Intake::Closed(Cause::Said));
    state.record_probe(Moment(11), Moment(12), ProbeResult::Answered(ServerState::Serving));
    assert_eq!(state.intake(), Intake::Open);
}

/// With signals in any order, the intake is open exactly if a probe found the server serving after its last report that
/// it is leaving.
#[test]
fn open_needs_a_probe_after_the_last_leaving_report() {
    fn property(signals: Vec<u8>) -> bool {
        let mut state = BackendState::default();
        let mut leaving = false;
        signals.into_iter().zip((10..).step_by(10)).all(|(signal, at)| {
            match signal % 6 {
                0 => state.set_listed(Listed::Live),
                1 => state.set_listed(Listed::Absent),
                2 => state.record_answer(Moment(at), ServerState::Serving),
                3 => {
                    state.record_answer(Moment(at), ServerState::Leaving);
                    leaving = true;
                }
                4 => {
                    state.record_probe(
                        Moment(at - 5),
                        Moment(at),
                        ProbeResult::Answered(ServerState::Serving),
                    );
                    leaving = false;
                }
                _ => {
                    state.record_probe(
                        Moment(at - 5),
                        Moment(at),
                        ProbeResult::Answered(ServerState::Leaving),
                    );
                    leaving = true;
                }
            }
            (state.intake() == Intake::Open) != leaving
        })
    }
    let seed = 0xbac;
    println!("generator seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, seed))
        .tests(500)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
