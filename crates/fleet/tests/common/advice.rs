//! A simulated advice service, and the invariants of advised starts: see `world`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Name, TaskId,
    coordinator::{Permit, StepKey},
};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::world::World;

/// Validity of a ticket.
const VALID_MS: Millisecond = 5_000;

/// One in this many workers is refused for a step.
const REFUSED_OF: usize = 3;

struct Ticket {
    step: StepKey,
    worker: Name,
    born: u64,
    until: Moment,
}

struct Question {
    step: StepKey,
    workers: Vec<Name>,
    asked: Moment,
}

/// The tickets that were issued, and the open questions.
#[derive(Default)]
pub struct AdviceService {
    tickets: BTreeMap<Name, Ticket>,
    questions: Vec<Question>,
}

impl AdviceService {
    pub fn ask(&mut self, step: StepKey, workers: Vec<Name>, asked: Moment) {
        self.questions.push(Question { step, workers, asked });
    }

    pub fn forget_questions(&mut self) {
        self.questions.clear();
    }

    pub fn has_questions(&self) -> bool {
        !self.questions.is_empty()
    }

    /// Returns whether an incarnation of a worker accepts a ticket.
    pub fn admits(&self, ticket: &Name, step: &StepKey, on: (&Name, u64), now: Moment) -> bool {
        self.tickets
            .get(ticket)
            .is_some_and(|it| it.step == *step && (&it.worker, it.born) == on && now <= it.until)
    }

    fn issue(&mut self, step: &StepKey, worker: &Name, born: u64, until: Moment) -> Name {
        let name = Name::from(format!("t{}", self.tickets.len()));
        let ticket = Ticket { step: step.clone(), worker: worker.clone(), born, until };
        self.tickets.insert(name.clone(), ticket);
        name
    }
}

impl World {
    /// Answers a question, or loses its answer.
    pub fn advise(&mut self, pick: usize, is_answered: bool) {
        if !self.advice.has_questions() {
            return;
        }
        let pick = pick % self.advice.questions.len();
        let Question { step, workers, asked } = self.advice.questions.remove(pick);
        let mut permits = Vec::new();
        for (number, (id, sim)) in self.workers.iter().enumerate() {
            let is_good = !(number + usize::from(step.step)).is_multiple_of(REFUSED_OF);
            // For a worker that is down, the service still knows the former incarnation.
            let born = if sim.is_up { sim.born } else { sim.born - 1 };
            if is_good && workers.contains(id) {
                let ticket = self.advice.issue(&step, id, born, self.now + VALID_MS);
                permits.push((id.clone(), Permit { ticket, until: asked + VALID_MS }));
            }
        }
        self.note(|| format!("advice, answered {is_answered}: {step:?} {permits:?}"));
        self.coordinator.advice_answered(&step, &workers, is_answered.then_some(permits));
    }

    /// Checks that an advised start carries a ticket for its step and worker. It may be out of date, since storing
    /// the record of a start may take long and the worker may restart meanwhile.
    pub(super) fn check_ticket(&mut self, task: &TaskId, worker: &Name, ticket: &Name) {
        let is_advised = self.specs[&task.job].route.advised;
        let given = self.advice.tickets.get(ticket);
        let fits = given.is_some_and(|it| it.step == task.into() && it.worker == *worker);
        if is_advised && !fits {
            self.fail(format!("{task:?} is started on {worker} with the ticket {ticket:?}"));
        }
    }

    /// Checks that no task is started before its occurrence is due or before all tasks of the preceding steps are done.
    pub(super) fn check_order(&mut self, task: &TaskId) {
        let spec = self.specs[&task.job].clone();
        let is_due = spec.schedule.is_none_or(|it| {
            self.wall().0 >= it.first.0 + u64::from(task.occurrence) * it.interval_ms
        });
        let before = spec.steps[usize::from(task.step)].after.iter().flat_map(|step| {
            (0..spec.steps[usize::from(*step)].count).map(|index| TaskId {
                step: *step,
                index,
                ..task.clone()
            })
        });
        let missing = before.into_iter().find(|it| !self.done.contains(it));
        if !is_due {
            self.fail(format!("{task:?} is started before its time"));
        }
        if let Some(missing) = missing {
            self.fail(format!("{task:?} is started before {missing:?} is done"));
        }
    }
}
