//! A job on a platform, from what is stored of it.

use fuchsiamill_api::story::{JobStory, StepStory, TaskStory};

use super::time::utc;

/// One job with its steps.
pub fn story(it: &JobStory) -> String {
    let team = if it.team.is_empty() { "- (the queue is open to all)" } else { &it.team };
    let cancel = if it.cancel_asked { " (cancel asked for)" } else { "" };
    let lines = [
        ("job", it.id.clone()),
        ("queue", it.queue.clone()),
        ("team", team.to_owned()),
        ("pool", it.pool.clone()),
        ("accepted", format!("{} UTC", utc(it.accepted))),
        ("stage", format!("{}{cancel}", it.stage)),
        ("attempts", format!("{} a task", it.max_attempts)),
    ];
    let mut text: String =
        lines.into_iter().map(|(name, value)| format!("{name:<10}  {value}\n")).collect();
    for step in &it.steps {
        text.push_str(&self::step(step));
    }
    text
}

fn step(it: &StepStory) -> String {
    let after: Vec<String> = it.after.iter().map(u16::to_string).collect();
    let after = match after.is_empty() {
        true => String::new(),
        false => format!(", after step {}", after.join(" and ")),
    };
    let head =
        format!("step {}.{}    {} of {} done{after}\n", it.occurrence, it.step, it.done, it.count);
    it.tasks.iter().fold(head, |text, it| text + &task(it))
}

fn task(it: &TaskStory) -> String {
    let place = match &it.worker {
        Some(worker) => format!("may be at {worker}"),
        None => "waits".into(),
    };
    format!("  task {}: run {} {place}, failed {} times\n", it.index, it.run, it.failures)
}
