//! Queries to the advice service.

use fuchsiamill_fleet::{
    Name,
    coordinator::{Permit, StepKey},
};
use fuchsiamill_platform::AdviceClient;

use crate::clock::Clock;

/// Asks the advice service which of the workers may run a step; returns `None` if it does not answer.
pub async fn ask(
    advice: &AdviceClient,
    step: &StepKey,
    workers: &[Name],
    clock: Clock,
) -> Option<Vec<(Name, Permit)>> {
    // A ticket's validity counts from the request, since the service may have issued the ticket at once.
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
