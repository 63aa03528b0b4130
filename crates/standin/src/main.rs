//! The stand-ins as a program of their own, for tests with real processes.

use fuchsiamill_standin::{cli::Args, run::run};

fn main() {
    let args: Args = argh::from_env();
    if let Err(e) = run(args) {
        eprintln!("error: {e:#}");
        std::process::exit(1);
    }
}
