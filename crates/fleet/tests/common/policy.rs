//! The advice service as it really is, and what it is needed for: see `world`.

use std::collections::BTreeMap;

use fuchsiamill_fleet::{
    Name, TaskId,
    coordinator::{Permit, StepKey},
};
use fuchsiamill_model::units::{Millisecond, Moment};

use super::world::World;

/// How long a ticket is good.
const VALID_MS: Millisecond = 5_000;

/// One of so many workers may not run a step.
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

/// Tickets that were given, and questions that are not answered.
#[derive(Default)]
pub struct Policy {
    tickets: BTreeMap<Name, Ticket>,
    questions: Vec<Question>,
}

impl Policy {
    pub fn ask(&mut self, step: StepKey, workers: Vec<Name>, asked: Moment) {
        self.questions.push(Question { step, workers, asked });
    }

    pub fn forget_questions(&mut self) {
        self.questions.clear();
    }

    pub fn has_questions(&self) -> bool {
        !self.questions.is_empty()
    }

    /// Whether a life of a worker takes a ticket.
    pub fn admits(&self, ticket: &Name, step: &StepKey, on: (&Name, u64), now: Moment) -> bool {
        self.tickets
            .get(ticket)
            .is_some_and(|it| it.step == *step && (&it.worker, it.born) == on && now <= it.until)
    }

    fn give(&mut self, step: &StepKey, worker: &Name, born: u64, until: Moment) -> Name {
        let name = Name::from(format!("t{}", self.tickets.len()));
        let ticket = Ticket { step: step.clone(), worker: worker.clone(), born, until };
        self.tickets.insert(name.clone(), ticket);
        name
    }
}

impl World {
    /// A question is answered, or its answer gets lost.
    pub fn advise(&mut self, pick: usize, is_answered: bool) {
        if !self.policy.has_questions() {
            return;
        }
        let pick = pick % self.policy.questions.len();
        let Question { step, workers, asked } = self.policy.questions.remove(pick);
        let mut permits = Vec::new();
        for (number, (id, work)) in self.works.iter().enumerate() {
            let is_good = !(number + usize::from(step.step)).is_multiple_of(REFUSED_OF);
            // Of a worker that is down the service knows the life that is over.
            let born = if work.is_up { work.born } else { work.born - 1 };
            if is_good && workers.contains(id) {
                let ticket = self.policy.give(&step, id, born, self.now + VALID_MS);
                permits.push((id.clone(), Permit { ticket, until: asked + VALID_MS }));
            }
        }
        self.note(|| format!("advice, answered {is_answered}: {step:?} {permits:?}"));
        self.coordinator.advice_answered(&step, &workers, is_answered.then_some(permits));
    }

    /// A start is ordered only with a ticket for its step and worker. It may be too old: the record of a start may take
    /// long to store, and a life may begin anew.
    pub(super) fn check_ticket(&mut self, task: &TaskId, worker: &Name, ticket: &Name) {
        let is_advised = self.specs[&task.job].route.advised;
        let given = self.policy.tickets.get(ticket);
        let fits = given.is_some_and(|it| it.step == task.into() && it.worker == *worker);
        if is_advised && !fits {
            self.fail(format!("{task:?} is started on {worker} with the ticket {ticket:?}"));
        }
    }

    /// No task is started before its time, or before all tasks of the steps before it are done.
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
