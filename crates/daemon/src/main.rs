//! The program of an entry host.

use fuchsiamill_daemon::{cli::Args, run::run};

fn main() {
    let args: Args = argh::from_env();
    if let Err(e) = run(&args) {
        eprintln!("error: {e:#}");
        std::process::exit(1);
    }
}
