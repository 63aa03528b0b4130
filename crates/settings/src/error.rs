//! The errors of reading settings.

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Why settings were refused. Each message names the place, what is allowed and the remedy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error(
        "The settings file {file} cannot be read ({cause}); check the path and its permissions."
    )]
    Unreadable {
        /// The file.
        file: String,
        /// What the operating system said.
        cause: String,
    },
    /// The file is not INI.
    #[error(
        "{file}, line {line}: this is not INI ({cause}); write '[section]' and 'key = value' lines."
    )]
    Syntax {
        /// The file.
        file: String,
        /// The line, counted from 1.
        line: usize,
        /// What the parser said.
        cause: String,
    },
    /// A section is not known.
    #[error(
        "{file}: section '{section}' is not known; allowed are {allowed}; rename or remove it."
    )]
    UnknownSection {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The sections that are known.
        allowed: String,
    },
    /// A key stands before the first section.
    #[error(
        "{file}: key '{key}' stands before the first section; move it below a '[section]' line."
    )]
    NoSection {
        /// The file.
        file: String,
        /// The key.
        key: String,
    },
    /// A section or key is given twice.
    #[error("{file}, section '{section}': {what} is given twice; keep one.")]
    Duplicate {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The section or key that stands twice.
        what: String,
    },
    /// A key is not known.
    #[error(
        "{file}, section '{section}': key '{key}' is not known; allowed are {allowed}; rename or remove it."
    )]
    UnknownKey {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The keys that are known.
        allowed: String,
    },
    /// A key without a default is missing.
    #[error(
        "{file}, section '{section}': key '{key}' is missing; add '{key} = VALUE', allowed is {allowed}."
    )]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What values are allowed.
        allowed: String,
    },
    /// A value is not allowed.
    #[error(
        "{file}, section '{section}', key '{key}': '{found}' is not allowed; set it to {allowed}."
    )]
    Value {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value found.
        found: String,
        /// What values are allowed.
        allowed: String,
    },
    /// A value does not fit another one.
    #[error(
        "{file}, section '{section}', key '{key}': this does not fit the other settings; {remedy}."
    )]
    Clash {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What to set.
        remedy: String,
    },
}
