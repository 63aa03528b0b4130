//! The quick start of the README, as written there.

use fuchsiamill_quickstart::{cli::Args, run::run};

#[test]
fn request_is_answered_and_a_rack_drained() {
    run(&Args { stay: false }).expect("the quick start runs to its end");
}
