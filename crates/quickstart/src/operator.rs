//! An operator of the site, at the command line.

use std::{fs, path::PathBuf};

use anyhow::{Context, Result, bail};
use fuchsiamill_daemon::Addresses;
use serde_json::Value;

use crate::site::OPERATOR_KEY;

/// An operator with a key file and the operator ports of the site.
pub struct Operator {
    access: Vec<String>,
    key_file: PathBuf,
}

impl Operator {
    /// Writes the key file.
    pub fn new(entries: &[Addresses]) -> Result<Self> {
        let name = format!("fuchsiamill-quick-start-{}.key", std::process::id());
        let key_file = std::env::temp_dir().join(name);
        fs::write(&key_file, OPERATOR_KEY).context("The operator's key file cannot be written.")?;
        let mut access = vec!["--key-file".to_owned(), key_file.display().to_string()];
        for entry in entries {
            access.extend(["--entry".to_owned(), entry.operator.to_string()]);
        }
        Ok(Self { access, key_file })
    }

    /// The arguments that every command needs.
    pub fn access(&self) -> String {
        self.access.join(" ")
    }

    /// Runs a command and prints it with its output.
    pub fn show(&self, command: &[&str]) -> Result<()> {
        println!("$ fuchsiamill {}", command.join(" "));
        println!("{}", self.run(command)?.trim_end());
        println!();
        Ok(())
    }

    /// Runs a command and reads its output as JSON.
    pub fn json(&self, command: &[&str]) -> Result<Value> {
        let command: Vec<&str> = command.iter().copied().chain(["--json"]).collect();
        Ok(serde_json::from_str(&self.run(&command)?)?)
    }

    fn run(&self, command: &[&str]) -> Result<String> {
        let mut args = self.access.clone();
        args.extend(command.iter().map(|it| (*it).to_owned()));
        match fuchsiamill_cli::main(&args) {
            Ok(outcome) => Ok(outcome.text),
            Err(e) => bail!("'fuchsiamill {}' failed: {e}", command.join(" ")),
        }
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.key_file);
    }
}
