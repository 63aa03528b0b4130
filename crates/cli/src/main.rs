//! The program `fuchsiamill`: parses, runs and prints an error once.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match fuchsiamill_cli::main(&args) {
        Ok(outcome) => {
            print!("{}", outcome.text);
            outcome.code.into()
        }
        Err(e) => {
            eprintln!("fuchsiamill: {e}");
            e.code().into()
        }
    }
}
