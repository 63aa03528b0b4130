//! Errors and exit statuses.

use std::{net::SocketAddr, process::ExitCode};

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// How the program exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// It was done.
    Done = 0,
    /// Something that should not happen did.
    Failed = 1,
    /// The command was used wrongly.
    Usage = 2,
    /// No entry host answers.
    Unreachable = 3,
    /// It was refused; nothing was changed.
    Refused = 4,
    /// Another operator's change came first; nothing was changed.
    Conflict = 5,
    /// It is not in force everywhere yet, or its outcome is not known yet.
    Pending = 6,
    /// The platform does not serve; nothing was changed.
    Unavailable = 7,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Why a command was not done. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The arguments are wrong; the text says how.
    #[error("{0}")]
    Usage(String),
    /// An argument has a wrong value.
    #[error("{0}")]
    Argument(#[from] fuchsiamill_model::Error),
    /// The settings of the command line are wrong.
    #[error("{0}")]
    Settings(#[from] fuchsiamill_settings::Error),
    /// No entry host is named.
    #[error(
        "No entry host is named; give '--entry IP:PORT', set FUCHSIAMILL_ENTRIES or name a file with '--config'."
    )]
    NoEntry,
    /// No operator's key is given.
    #[error(
        "No operator's key is given; give '--key-file FILE', set FUCHSIAMILL_KEY_FILE or FUCHSIAMILL_KEY."
    )]
    NoKey,
    /// A file cannot be read.
    #[error("The file {file} cannot be read ({cause}); check its path, permissions and content.")]
    File {
        /// The file.
        file: String,
        /// The cause.
        cause: String,
    },
    /// No entry host answers.
    #[error(
        "No entry host answers; the last one tried told: {cause} Check the addresses and that the entry hosts run."
    )]
    Unreachable {
        /// Why the last one that was tried did not answer.
        cause: String,
    },
    /// The operator's key is not known.
    #[error("{0}")]
    KeyRefused(String),
    /// The request was refused.
    #[error("{0}")]
    Refused(String),
    /// Another change came first.
    #[error("{0}")]
    Conflict(String),
    /// The outcome is not known, or not in force everywhere.
    #[error("{0}")]
    Pending(String),
    /// The platform does not serve.
    #[error("{0}")]
    Unavailable(String),
    /// An answer cannot be read.
    #[error(
        "The answer of {entry} cannot be read ({cause}); use the same version of fuchsiamill as the entry hosts."
    )]
    Malformed {
        /// The entry host.
        entry: SocketAddr,
        /// The cause.
        cause: String,
    },
}

impl Error {
    /// Arguments that the parser does not take.
    pub fn usage(told: &str) -> Self {
        Error::Usage(format!("{told}\nSee 'fuchsiamill --help' or 'fuchsiamill COMMAND --help'."))
    }

    /// The exit status that stands for the error.
    pub fn code(&self) -> ExitStatus {
        match self {
            Error::Usage(_) | Error::Argument(_) | Error::Settings(_) => ExitStatus::Usage,
            Error::NoEntry | Error::NoKey | Error::File { .. } => ExitStatus::Usage,
            Error::Unreachable { .. } => ExitStatus::Unreachable,
            Error::KeyRefused(_) | Error::Refused(_) => ExitStatus::Refused,
            Error::Conflict(_) => ExitStatus::Conflict,
            Error::Pending(_) => ExitStatus::Pending,
            Error::Unavailable(_) => ExitStatus::Unavailable,
            Error::Malformed { .. } => ExitStatus::Failed,
        }
    }
}
