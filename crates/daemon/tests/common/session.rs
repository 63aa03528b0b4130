//! Sessions of the command line, written down as people see them.

use std::{fmt::Write as _, net::SocketAddr, path::PathBuf};

/// A session: commands with what they print and how they exit.
pub struct Session {
    entries: Vec<SocketAddr>,
    key_file: PathBuf,
    text: String,
    redactions: Vec<(String, &'static str)>,
}

impl Session {
    /// A session on these operator ports with an operator's key.
    pub fn new(entries: Vec<SocketAddr>, key: &str) -> Self {
        let name = entries[0].to_string().replace(':', "-");
        let key_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{key}"));
        std::fs::write(&key_file, key).expect("the key's file");
        Self { entries, key_file, text: String::new(), redactions: Vec::new() }
    }

    /// Shows `text` as `shown` from now on; for ids and addresses that differ from run to run.
    pub fn redact(&mut self, text: impl Into<String>, shown: &'static str) {
        self.redactions.push((text.into(), shown));
    }

    /// Runs a command and writes it down; answers what it printed.
    pub fn run(&mut self, line: &str) -> String {
        let mut args: Vec<String> =
            self.entries.iter().flat_map(|it| ["--entry".into(), it.to_string()]).collect();
        args.extend(["--key-file".into(), self.key_file.display().to_string()]);
        args.extend(line.split_whitespace().map(String::from));
        let (printed, code) = match fuchsiamill_cli::main(&args) {
            Ok(outcome) => (outcome.text, outcome.code),
            Err(e) => (format!("fuchsiamill: {e}\n"), e.code()),
        };
        let _ = writeln!(self.text, "$ fuchsiamill {line}\n{printed}[exit {}]\n", code as u8);
        printed
    }

    /// The session so far, with ids, addresses and times redacted.
    pub fn text(&self) -> String {
        let mut text = self.text.clone();
        for (raw, shown) in &self.redactions {
            text = text.replace(raw, shown);
        }
        redact_times(&text)
    }
}

/// Replaces times such as `2026-12-04 09:30:00`.
fn redact_times(text: &str) -> String {
    let shape = "dddd-dd-dd dd:dd:dd";
    let fits = |at: usize| {
        let part = text.get(at..at + shape.len());
        part.is_some_and(|part| {
            part.chars().zip(shape.chars()).all(|(found, wanted)| match wanted {
                'd' => found.is_ascii_digit(),
                other => found == other,
            })
        })
    };
    let mut redacted = String::new();
    let mut at = 0;
    while let Some(next) = text[at..].chars().next() {
        if fits(at) {
            redacted.push_str("YYYY-MM-DD HH:MM:SS");
            at += shape.len();
        } else {
            redacted.push(next);
            at += next.len_utf8();
        }
    }
    redacted
}
