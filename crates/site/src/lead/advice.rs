//! Questions to the advice service.

use fuchsiamill_fleet::{
    Name,
    coordinator::{Permit, StepKey},
};
use fuchsiamill_platform::AdviceClient;

use crate::clock::Clock;

/// Asks which workers may run a step; `None` when the service gives no answer.
pub async fn ask(
    advice: &AdviceClient,
    step: &StepKey,
    workers: &[Name],
    clock: Clock,
) -> Option<Vec<(Name, Permit)>> {
    // Counted from the question: the ticket may have been made out at once.
    let asked = clock.now();
    let answer = advice.ask((&step.job, step.occurrence, step.step), workers).await;
    match answer {
        Ok(tickets) => {
            tracing::debug!(event = "advice", job = %step.job, asked = workers.len(), good = tickets.len());
            let permit = |it: fuchsiamill_platform::Ticket| {
                (it.worker, Permit { ticket: it.ticket, until: asked + it.valid_ms })
            };
            Some(tickets.into_iter().map(permit).collect())
        }
        Err(e) => {
            tracing::warn!(event = "advice-failed", job = %step.job, error = %e);
            None
        }
    }
}
