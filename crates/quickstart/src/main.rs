//! A small site on this machine: stand-ins and entry hosts in one process, a request answered and a
//! rack drained by plan and confirm.

use fuchsiamill_quickstart::{cli::Args, run::run};

fn main() {
    let args: Args = argh::from_env();
    if let Err(e) = run(&args) {
        eprintln!("error: {e:#}");
        std::process::exit(1);
    }
}
