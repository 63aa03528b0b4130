//! What is logged of open waves, and how often.

mod common;

use std::sync::Arc;

use common::logged;
use fuchsiamill_fleet::{
    Config, Coordinator, HostInfo, HostListing, HostState, Name, Tenure, Timing,
    coordinator::Takeover, worker::Wave,
};
use fuchsiamill_model::{
    FastMap, Resources,
    units::{Millisecond, Moment},
};
use fuchsiamill_site::lead::WaveLog;

const START: Moment = Moment(1_000_000);

/// The most that passes between two changes of what is logged.
const LOG_INTERVAL_MS: Millisecond = 1_000;

/// The time between two turns of the coordinator.
const TURN_MS: Millisecond = 50;

fn list(coordinator: &mut Coordinator, states: [HostState; 2], asked: Moment) {
    let hosts = states.into_iter().enumerate().map(|(number, state)| HostInfo {
        host: format!("h{number}").into(),
        pool: "web".into(),
        state,
        data_centre: "a".into(),
        labels: Vec::new(),
        capacity: Resources::default(),
        worker: None,
    });
    coordinator.hosts_listed(&HostListing { hosts: hosts.collect(), is_whole: true, asked });
}

/// Returns a coordinator with an open wave over two hosts.
fn with_wave() -> Coordinator {
    let takeover = Takeover { renewals_end: START, at: START };
    let config = Arc::new(Config { version: 1, ..Config::default() });
    let mut coordinator = Coordinator::new(Timing::default(), config, takeover);
    list(&mut coordinator, [HostState::Up; 2], START);
    let hosts: Vec<Name> = vec!["h0".into(), "h1".into()];
    let wave = Wave { number: 1, hosts, within_ms: 20_000, at_once: 1 };
    coordinator.waves_requested(&[wave], &FastMap::default(), START);
    coordinator
}

#[test]
fn unchanged_wave_is_logged_once() {
    let coordinator = with_wave();
    let log = logged(|| {
        let mut waves = WaveLog::default();
        for ms in (0..5 * LOG_INTERVAL_MS).step_by(TURN_MS as usize) {
            waves.log_changes(&coordinator, Tenure::Held, START + ms);
        }
    });
    assert_eq!(log.lines("wave-planned"), 1);
}

#[test]
fn wave_that_changes_all_the_time_is_logged_once_a_second() {
    let mut coordinator = with_wave();
    let log = logged(|| {
        let mut waves = WaveLog::default();
        for turn in 0..5 * LOG_INTERVAL_MS / TURN_MS {
            let now = START + turn * TURN_MS;
            let is_down = turn / (LOG_INTERVAL_MS / TURN_MS) % 2 == 1 || turn % 2 == 1;
            let first = if is_down { HostState::Maintenance } else { HostState::Up };
            list(&mut coordinator, [first, HostState::Up], now);
            waves.log_changes(&coordinator, Tenure::Held, now);
        }
    });
    assert_eq!(log.lines("wave-planned"), 5);
}

/// Another coordinator plans the wave meanwhile.
#[test]
fn thawed_coordinator_logs_no_wave() {
    let coordinator = with_wave();
    let log = logged(|| {
        let mut waves = WaveLog::default();
        for ms in (0..2 * LOG_INTERVAL_MS).step_by(TURN_MS as usize) {
            waves.log_changes(&coordinator, Tenure::Unknown, START + ms);
        }
    });
    assert_eq!(log.lines("wave-planned"), 0);
}
