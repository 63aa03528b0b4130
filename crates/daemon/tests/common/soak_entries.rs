//! What a soak does to entry hosts and to the configuration, as it is noted.

use std::{
    thread,
    time::{Duration, Instant},
};

use fastrand::Rng;
use fuchsiamill_standin::admin::RouteFault;

use super::{
    soak::{ENTRY_HOSTS, Soak},
    unanswered::{CONFIG_TIME, HUP_TIME, TERM_TIME},
};

/// How long a paused process stands still.
const FREEZE_MS: u64 = 2_500;

/// Makes the generator of a seed's planned work.
const PLANNED_SEED: u64 = 0x706c_616e;

/// Planned work without faults, and the pauses between it.
const PLANNED_ACTS: usize = 8;
const PLANNED_PAUSE_MS: std::ops::Range<u64> = 0..900;

impl Soak {
    /// Does planned work only, in series that overlap.
    pub fn plan_work(&mut self) {
        let mut rng = Rng::with_seed(self.seed ^ PLANNED_SEED);
        for _ in 0..PLANNED_ACTS {
            match rng.u32(0..4) {
                0 => self.replace(rng.usize(0..ENTRY_HOSTS), true),
                1 => self.restart_several(),
                2 => self.reload(rng.usize(0..ENTRY_HOSTS)),
                _ => self.configure(),
            }
            thread::sleep(Duration::from_millis(rng.u64(PLANNED_PAUSE_MS)));
        }
    }

    /// Waits for what lasts and starts the silent entry host anew.
    pub fn end_losses(&mut self) {
        let silent = self.losses.silent;
        self.losses.check_lasting(&self.fleet);
        if silent.is_some() {
            self.disturbances.end("loss", silent);
        }
    }

    pub(super) fn reload(&mut self, number: usize) {
        let entry = &self.fleet.entries[number];
        if entry.hears_hup() {
            self.disturbances.plan("SIGHUP", Some(number), HUP_TIME);
            entry.signal("HUP");
        }
    }

    pub(super) fn disturb_store_of(&mut self, entry: usize, fault: RouteFault) {
        match fault {
            RouteFault::None => self.disturbances.end("cut of the store", Some(entry)),
            _ => self.disturbances.begin("cut of the store", Some(entry)),
        }
        self.fleet.store_fault(entry, fault);
    }

    pub(super) fn replace(&mut self, entry: usize, gracefully: bool) {
        match gracefully {
            true => self.disturbances.plan("SIGTERM", Some(entry), TERM_TIME),
            false => self.disturbances.strike("kill", Some(entry)),
        }
        self.fleet.entries[entry].replace(gracefully);
    }

    fn is_frozen(&self, entry: usize) -> bool {
        self.losses.silent == Some(entry) || self.frozen.iter().any(|it| it.1 == entry)
    }

    pub(super) fn lose_for_good(&mut self) {
        let was_silent = self.losses.silent;
        self.losses.act(&self.fleet, |entry| self.frozen.iter().any(|it| it.1 == entry));
        if self.losses.silent != was_silent {
            self.disturbances.begin("loss", self.losses.silent);
        }
    }

    pub(super) fn freeze(&mut self) {
        let entry = self.rng.usize(0..ENTRY_HOSTS);
        if !self.is_frozen(entry) {
            self.fleet.entries[entry].signal("STOP");
            self.disturbances.begin("freeze", Some(entry));
            let span = Duration::from_millis(self.rng.u64(100..FREEZE_MS));
            self.frozen.push((Instant::now() + span, entry));
        }
    }

    pub(super) fn restart(&mut self) {
        let entry = self.rng.usize(0..ENTRY_HOSTS);
        if !self.is_frozen(entry) {
            let gracefully = self.rng.bool();
            self.replace(entry, gracefully);
        }
    }

    /// Several shut down at once while a configuration comes, one after another is up again.
    pub(super) fn restart_several(&mut self) {
        let first = self.rng.usize(0..ENTRY_HOSTS);
        let others = (0..ENTRY_HOSTS).filter(|it| *it != first && !self.is_frozen(*it));
        let others: Vec<usize> = others.collect();
        for it in &others {
            self.disturbances.plan("SIGTERM", Some(*it), TERM_TIME);
            self.fleet.entries[*it].signal("TERM");
        }
        self.configure();
        for entry in others {
            self.fleet.entries[entry].wait_end();
            self.fleet.entries[entry].restart();
        }
    }

    pub(super) fn lose_coordinator(&mut self) {
        if let Some(leader) = self.fleet.coordinator().filter(|it| !self.is_frozen(*it)) {
            self.replace(leader, false);
        }
    }

    pub(super) fn configure(&mut self) {
        self.version += 1;
        let queues: &[&str] = if self.rng.bool() { &["/jobs/"] } else { &["/jobs/", "/other/"] };
        self.disturbances.plan("a changed configuration", None, CONFIG_TIME);
        self.fleet.configure(self.version, &[queues, self.shared].concat());
    }
}
