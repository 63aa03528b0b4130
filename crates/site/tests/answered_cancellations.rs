//! An entry host remembers the cancellations that it has answered.

use fuchsiamill_fleet::{Cancellation, JobOwner, JobScope};
use fuchsiamill_model::units::Moment;
use fuchsiamill_site::Cancellations;

/// Longer than a cancellation is kept, in milliseconds.
const LATER_MS: u64 = 10_001;

/// The most cancellations that are kept.
const MOST: usize = 4_096;

const BEGIN: Moment = Moment(1_000);

fn of_team(job: &str, team: &str) -> Cancellation {
    Cancellation { job: job.into(), scope: JobScope::Team(team.into()) }
}

fn owner(team: &str) -> JobOwner {
    JobOwner { team: team.into(), queue: "jobs".into() }
}

#[test]
fn old_cancellation_of_a_quiet_host_blocks_no_starts() {
    let mut cancellations = Cancellations::default();
    cancellations.note(of_team("a", "north"), BEGIN);
    let owner = owner("north");
    assert!(cancellations.contains(&"a".into(), Some(&owner), BEGIN));
    assert!(!cancellations.contains(&"a".into(), Some(&owner), BEGIN + LATER_MS));
}

#[test]
fn cancellations_do_not_pile_up() {
    let mut cancellations = Cancellations::default();
    for number in 0..=MOST {
        cancellations.note(of_team(&format!("{number}"), "north"), BEGIN);
    }
    assert!(!cancellations.contains(&"0".into(), None, BEGIN));
    assert!(cancellations.contains(&"1".into(), None, BEGIN));
}

/// A team that cancelled an id kept the starts of another team's job of that id from being sent.
#[test]
fn cancellation_by_another_team_blocks_no_starts() {
    let mut cancellations = Cancellations::default();
    cancellations.note(of_team("a", "south"), BEGIN);
    assert!(!cancellations.contains(&"a".into(), Some(&owner("north")), BEGIN));
    assert!(cancellations.contains(&"a".into(), Some(&owner("south")), BEGIN));
    cancellations.note(of_team("a", "north"), BEGIN);
    assert!(cancellations.contains(&"a".into(), Some(&owner("north")), BEGIN));
    assert!(cancellations.contains(&"a".into(), Some(&owner("south")), BEGIN));
}
