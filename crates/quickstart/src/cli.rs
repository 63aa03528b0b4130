//! The command line of the quick start.

use argh::FromArgs;

/// Bring up a small site on this machine, answer a request and drain a rack.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// stay up afterwards, until the process is ended, to try commands by hand
    #[argh(switch)]
    pub stay: bool,
}
