//! What befalls workers, their entries and coordinators: see `world`.

use fuchsiamill_fleet::{
    Coordinator, Ending, Name, TaskId, WorkerInfo, coordinator::Takeover, timing::with_drift,
};
use fuchsiamill_model::units::Moment;

use super::{
    work::{Work, name_of},
    worker,
    world::{Lives, World},
};

impl World {
    /// What a script chooses to happen, and to whom.
    pub fn happen(&mut self, what: u32, whom: usize) {
        match what {
            0..6 | 32..38 => self.deliver(whom, true),
            6 => self.deliver(whom, false),
            7 => self.leave_unanswered(whom),
            8..14 | 38..43 => self.look(whom, true, true),
            14 => self.look(whom, false, true),
            15 => self.look(whom, true, false),
            16..18 | 47..49 => self.finish(whom, Ending::Done),
            18 => self.finish(whom, Ending::Failed),
            19..22 | 49 => self.pass(20),
            22 => self.pass(700),
            23 => self.pass(4_000),
            24 => self.pass(9_000),
            25 => self.crash(whom, true),
            26 | 62 => self.take_over(whom.is_multiple_of(2), whom % 4 < 2),
            27 => self.ghost_look(whom),
            50 => self.pass(300),
            51 => self.cancel(whom, true),
            52 => self.cancel(whom, false),
            53 => self.hear(),
            54 | 55 => self.unlist(whom),
            56 | 57 => self.list(whom),
            58 => self.crash(whom, false),
            59 => self.repeat(whom),
            60 => self.lose(whom),
            _ => self.store(),
        }
    }

    /// A running task ends.
    pub fn finish(&mut self, pick: usize, ending: Ending) {
        let running: Vec<(Name, TaskId)> = self
            .works
            .iter()
            .flat_map(|(id, it)| it.running.keys().map(|task| (id.clone(), task.clone())))
            .filter(|it| !self.is_calm || self.is_open(&it.1))
            .collect();
        let Some((_, task)) = running.get(pick % running.len().max(1)) else { return };
        let step = &self.specs[&task.job].steps[task.step as usize];
        // Tasks that last end only if they fail.
        if step.long_running && ending == Ending::Done {
            return;
        }
        let is_gang = step.gang;
        // The members of a gang end together.
        let ends =
            |it: &TaskId| it == task || is_gang && (&it.job, it.step) == (&task.job, task.step);
        // They begin to work once all are there.
        if is_gang && running.iter().filter(|it| ends(&it.1)).count() < step.count as usize {
            return;
        }
        for (id, it) in running.iter().filter(|it| ends(&it.1)) {
            let ending = match ending {
                Ending::Failed if it != task => Ending::Broken,
                ending => ending,
            };
            self.works.get_mut(id).expect("a worker").end(it, ending);
            if ending == Ending::Done {
                self.done.insert(it.clone());
            }
        }
    }

    /// A worker dies, or starts anew under its id; its new entry is read at once or later.
    pub fn crash(&mut self, pick: usize, is_listed: bool) {
        let id = name_of(pick % self.works.len());
        let work = self.works.get_mut(&id).expect("a worker");
        let born = work.born + 1;
        *work = Work { is_up: !work.is_up, ..Work::born(born) };
        // Stops are sent anew; other orders end with the connection, where they do.
        let lives = self.lives;
        self.flights.retain(|it| {
            !it.is_to(&id) || it.is_stop() || lives == Lives::OneName && it.is_start()
        });
        if is_listed {
            self.list(pick);
        }
    }

    /// The entry of a worker is read, also of one whose entry had lapsed.
    pub fn list(&mut self, pick: usize) {
        let id = name_of(pick % self.works.len());
        let Some(work) = self.works.get_mut(&id).filter(|it| it.is_up) else { return };
        work.is_listed = true;
        let seen = WorkerInfo { born: work.born, ..worker(&id) };
        self.coordinator.worker_listed(seen, self.now);
    }

    /// The entry of a worker lapses, whether it lives or not.
    pub fn unlist(&mut self, pick: usize) {
        let id = name_of(pick % self.works.len());
        self.works.get_mut(&id).expect("a worker").is_listed = false;
        self.coordinator.worker_unlisted(&id);
    }

    pub(super) fn list_workers(&mut self) {
        for number in 0..self.works.len() {
            if self.works[&name_of(number)].is_listed {
                self.list(number);
            }
        }
    }

    /// Another coordinator takes over; the former one is over or may be alive, and its last change was made or not.
    pub fn take_over(&mut self, is_stored: bool, is_over: bool) {
        if let Some(commit) = self.under_way.take()
            && is_stored
        {
            self.stored.extend(commit.records);
        }
        let renewals = with_drift(self.timing.renewal_ms);
        let renewals_end = if is_over { self.now } else { self.now + renewals };
        self.ghost_until = if is_over { Moment(0) } else { self.now + self.timing.renewal_ms };
        self.fence += 1;
        self.links.clear();
        self.policy.forget_questions();
        self.drop_stops();
        let takeover = Takeover { renewals_end, at: self.now };
        self.coordinator = Coordinator::new(self.timing.clone(), self.config.clone(), takeover);
        // As `load` reads them: workers, then jobs and the wishes to cancel them.
        self.list_workers();
        let wall = self.wall();
        for (id, spec) in &self.specs {
            let record = self.stored.get(id);
            self.coordinator.accept(id.clone(), spec.clone(), record, self.now, wall);
        }
        self.cancelled.values_mut().for_each(|it| *it = false);
        self.hear();
    }
}
