//! The command line of operators.
//!
//! A thin `main` parses, runs and prints; everything else is here. Each command asks an entry host's
//! operator port and shows the answer as text, or as JSON for programs.

mod access;
mod cli;
mod client;
mod error;
mod intents;
mod jobs;
mod keys;
mod progress;
mod run;
mod show;

use argh::FromArgs;

pub use cli::Args;
pub use error::{Error, ExitStatus, Result};

const JSON_SWITCH: &str = "--json";

/// What a command prints and how it exits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// What goes to the standard output.
    pub text: String,
    /// The exit status.
    pub code: ExitStatus,
}

impl Outcome {
    pub(crate) fn done(text: String) -> Self {
        Self { text, code: ExitStatus::Done }
    }
}

/// Parses the arguments, without the program's name, and runs the command.
pub fn main(args: &[String]) -> Result<Outcome> {
    let args = with_json_first(args);
    let parsed = match Args::from_args(&["fuchsiamill"], &args) {
        Ok(parsed) => parsed,
        Err(exit) if exit.status.is_ok() => return Ok(Outcome::done(exit.output)),
        Err(exit) => return Err(Error::usage(exit.output.trim_end())),
    };
    run::run(&parsed)
}

/// `--json` may stand anywhere, after the command too.
fn with_json_first(args: &[String]) -> Vec<&str> {
    let (json, rest): (Vec<&str>, Vec<&str>) =
        args.iter().map(String::as_str).partition(|arg| *arg == JSON_SWITCH);
    json.into_iter().take(1).chain(rest).collect()
}
