//! Hosts that a wave names before the list of hosts shows them, and hosts that lists lack later.

mod common;

use common::{Bench, config, duties, host, worker};
use fuchsiamill_fleet::{
    Config, HostInfo, HostListing, HostState, Name,
    coordinator::{DutyReply, HostDuty, Takeover, WaveRecord},
    worker::Wave,
};
use fuchsiamill_model::{FastMap, units::Millisecond};

/// The pause between two lists.
const LIST_PAUSE_MS: Millisecond = 400;

/// Time for which lists have to lack a host until its wave goes on without it, and the next list.
const LOST_MS: Millisecond = 15_000 + 2 * LIST_PAUSE_MS;

const HOUR_MS: Millisecond = 3_600_000;

fn wave(hosts: &[&str]) -> Wave {
    let hosts = hosts.iter().map(|it| (*it).into()).collect();
    Wave { number: 1, hosts, within_ms: 20_000, at_once: 8 }
}

/// Returns a configuration with which no host is moved.
fn without_spare_pool() -> Config {
    let mut config = config();
    config.pools.retain(|_, it| !it.spare);
    config
}

/// A wave, the hosts that lists show, and what is stored of the wave.
struct Site {
    bench: Bench,
    wave: Wave,
    shown: Vec<HostInfo>,
    stored: FastMap<u64, WaveRecord>,
    maintained: Vec<String>,
    is_whole: bool,
}

impl Site {
    /// Returns a site with one host whose coordinator has led for some time, without a wave.
    fn after(ms: Millisecond) -> Self {
        let bench = Bench::with(without_spare_pool());
        let (wave, stored) = (wave(&[]), FastMap::default());
        let mut site =
            Self { bench, wave, shown: Vec::new(), stored, maintained: Vec::new(), is_whole: true };
        site.show("h1");
        site.list();
        site.bench.wait(ms);
        site
    }

    fn ask(&mut self, hosts: &[&str]) {
        self.wave = wave(hosts);
        let (bench, waves) = (&mut self.bench, [self.wave.clone()]);
        bench.coordinator.waves_requested(&waves, &self.stored, bench.now);
    }

    fn list(&mut self) {
        let (hosts, is_whole, asked) = (self.shown.clone(), self.is_whole, self.bench.now);
        self.bench.coordinator.hosts_listed(&HostListing { hosts, is_whole, asked });
    }

    /// Lets the coordinator decide, carries out its orders and stores the progress of the wave.
    fn plan(&mut self) {
        let workers: Vec<Name> = self.shown.iter().filter_map(|it| it.worker.clone()).collect();
        workers.iter().for_each(|it| self.bench.report(it, &[], &[]));
        for (host, duty) in duties(&self.bench.step()) {
            assert_eq!(duty, HostDuty::Maintain { wave: 1 });
            let (bench, reply) = (&mut self.bench, DutyReply::Done);
            bench.coordinator.host_answered(&host.as_str().into(), &duty, reply, bench.now);
            self.maintained.push(host);
        }
        self.stored.extend(self.bench.coordinator.take_wave_records());
    }

    /// Plays for some time, with lists.
    fn play(&mut self, ms: Millisecond) {
        let until = self.bench.now + ms;
        while self.bench.now < until {
            self.list();
            self.plan();
            self.bench.wait(LIST_PAUSE_MS);
        }
    }

    fn show(&mut self, name: &str) {
        let id = format!("w-{name}");
        self.bench.add(worker(&id));
        self.shown.push(host(name, "web", Some(&id)));
    }

    fn take_over(&mut self) {
        let now = self.bench.now;
        self.bench = Bench::after(without_spare_pool(), Takeover { renewals_end: now, at: now });
        self.bench.now = now;
        let workers: Vec<Name> = self.shown.iter().filter_map(|it| it.worker.clone()).collect();
        workers.iter().for_each(|it| self.bench.add(worker(it)));
        let hosts: Vec<String> = self.wave.hosts.iter().map(ToString::to_string).collect();
        self.ask(&hosts.iter().map(String::as_str).collect::<Vec<_>>());
    }

    fn is_completed(&self) -> bool {
        self.stored.get(&1).is_some_and(|it| it.is_completed)
    }
}

/// The list shows the second host 100 ms after the wave was read.
fn maintained_of_a_host_listed_late(led_for: Millisecond) -> Vec<String> {
    let mut site = Site::after(led_for);
    site.list();
    site.ask(&["h1", "h2"]);
    site.plan();
    site.bench.wait(100);
    site.show("h2");
    site.play(4_000);
    assert!(site.is_completed());
    site.maintained
}

#[test]
fn host_listed_after_its_wave_is_maintained() {
    for led_for in [1_000, 20_000, HOUR_MS] {
        assert_eq!(maintained_of_a_host_listed_late(led_for), ["h1", "h2"], "{led_for}");
    }
}

#[test]
fn lost_host_does_not_hold_up_its_wave_for_ever() {
    let mut site = Site::after(HOUR_MS);
    site.ask(&["h1", "gone"]);
    site.play(14_000);
    assert!(!site.is_completed());
    site.play(LOST_MS - 14_000);
    assert!(site.is_completed());
}

/// A host that was away before the wave was read may be on its way back.
#[test]
fn time_before_the_wave_is_no_evidence() {
    let mut site = Site::after(HOUR_MS);
    let down = HostInfo { state: HostState::Down, ..host("h2", "web", None) };
    site.shown.push(down);
    site.play(20_000);
    site.ask(&["h1", "h2"]);
    site.play(14_000);
    assert!(!site.is_completed());
    site.play(LOST_MS - 14_000);
    assert!(site.is_completed());
}

#[test]
fn time_without_lists_is_no_evidence() {
    let mut site = Site::after(HOUR_MS);
    site.ask(&["h1", "h2"]);
    site.play(4_000);
    for _ in 0..50 {
        site.plan();
        site.bench.wait(LIST_PAUSE_MS);
        site.bench.coordinator.host_list_failed();
    }
    site.play(4_000);
    assert!(!site.is_completed());
    site.show("h2");
    site.play(4_000);
    assert_eq!(site.maintained, ["h1", "h2"]);
}

/// The host may be one of the entries that could not be read.
#[test]
fn lists_with_unreadable_entries_are_no_evidence() {
    let mut site = Site::after(HOUR_MS);
    site.is_whole = false;
    site.ask(&["h1", "h2"]);
    site.play(40_000);
    assert!(!site.is_completed());
    site.show("h2");
    site.play(4_000);
    assert_eq!(site.maintained, ["h1", "h2"]);
}

/// The host is back while the wave waits for another one.
#[test]
fn lost_host_that_is_back_is_maintained() {
    let mut site = Site::after(HOUR_MS);
    site.show("h3");
    site.shown[1].state = HostState::Moving;
    site.ask(&["h1", "h2", "h3"]);
    site.play(LOST_MS);
    assert!(!site.is_completed());
    site.show("h2");
    site.play(4_000);
    assert_eq!(site.maintained, ["h1", "h2"]);
    site.shown[1].state = HostState::Up;
    site.play(4_000);
    assert_eq!(site.maintained, ["h1", "h2", "h3"]);
    assert!(site.is_completed());
}

#[test]
fn wave_without_a_lost_host_stays_completed_after_a_takeover() {
    let mut site = Site::after(HOUR_MS);
    site.ask(&["h1", "gone"]);
    site.play(LOST_MS);
    assert!(site.is_completed());
    site.take_over();
    site.play(1_000);
    assert!(site.is_completed());
    site.ask(&["h1", "gone", "h2"]);
    site.play(1_000);
    assert!(!site.is_completed(), "one more host");
}

#[test]
fn next_coordinator_counts_anew() {
    let mut site = Site::after(HOUR_MS);
    site.ask(&["h1", "h2"]);
    site.play(12_000);
    site.take_over();
    site.play(8_000);
    assert!(!site.is_completed());
    site.show("h2");
    site.play(8_000);
    assert_eq!(site.maintained, ["h1", "h2"]);
}

/// Some calls for the list are turned away.
#[test]
fn lists_that_fail_now_and_then_do_not_hold_up_the_wave_for_ever() {
    let mut site = Site::after(HOUR_MS);
    site.ask(&["h1", "gone"]);
    for _ in 0..LOST_MS / (2 * LIST_PAUSE_MS) + 2 {
        site.play(LIST_PAUSE_MS);
        site.bench.wait(LIST_PAUSE_MS);
        site.bench.coordinator.host_list_failed();
    }
    assert!(site.is_completed());
}

/// Where entries cannot be read, the reader keeps them as they were.
#[test]
fn kept_entry_of_a_host_that_was_down_is_no_evidence() {
    let mut site = Site::after(HOUR_MS);
    let down = HostInfo { state: HostState::Down, ..host("h2", "web", None) };
    site.shown.push(down);
    site.ask(&["h1", "h2"]);
    site.play(2_000);
    site.is_whole = false;
    site.play(40_000);
    assert!(!site.is_completed());
}
