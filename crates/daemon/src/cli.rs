//! The command line of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// The daemon of an entry host. It keeps nothing on disk; SIGTERM stops it gracefully.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// the settings file
    #[argh(option)]
    pub config: PathBuf,
    /// only check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
