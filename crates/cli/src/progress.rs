//! A progress line on the standard error while a plan is carried out.

use std::{
    io::{IsTerminal, Write, stderr},
    thread::sleep,
    time::Duration,
};

use fuchsiamill_api::{PlanView, Stage};
use fuchsiamill_model::PlanId;

use crate::{
    client::Client,
    error::{Error, Result},
    show,
};

const POLL_TIME: Duration = Duration::from_millis(500);

/// Waits until a plan has ended; shows each change of its progress.
pub fn wait(client: &Client, plan: &PlanId) -> Result<PlanView> {
    let mut shown = String::new();
    loop {
        let view = find(client, plan)?;
        let line = show::plans::progress(&view);
        if line != shown {
            print_line(&line);
            shown = line;
        }
        if view.stage == Stage::Ended {
            end_line();
            return Ok(view);
        }
        sleep(POLL_TIME);
    }
}

fn find(client: &Client, plan: &PlanId) -> Result<PlanView> {
    let views: Vec<PlanView> = client.call("plan.list", &())?;
    let gone = || {
        Error::Refused(format!("There is no plan '{plan}'; list them with 'fuchsiamill plans'."))
    };
    views.into_iter().find(|view| &view.plan.id == plan).ok_or_else(gone)
}

/// On a terminal the line is written over; elsewhere each one stays.
fn print_line(line: &str) {
    let mut out = stderr();
    let _ = if out.is_terminal() {
        write!(out, "\r\x1b[K{line}").and_then(|()| out.flush())
    } else {
        writeln!(out, "{line}")
    };
}

fn end_line() {
    if stderr().is_terminal() {
        eprintln!();
    }
}
