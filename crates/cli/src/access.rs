//! Where the entry hosts are and which key to present.
//!
//! Arguments go before environment variables, these before the settings file.

use std::{env, fs, net::SocketAddr, path::Path};

use fuchsiamill_settings::Document;

use crate::{
    cli::Args,
    error::{Error, Result},
};

const ENTRIES_VARIABLE: &str = "FUCHSIAMILL_ENTRIES";
const KEY_VARIABLE: &str = "FUCHSIAMILL_KEY";
const KEY_FILE_VARIABLE: &str = "FUCHSIAMILL_KEY_FILE";
const CONFIG_VARIABLE: &str = "FUCHSIAMILL_CONFIG";
const ENTRIES_ALLOWED: &str = "IP:PORT of operator ports, separated by commas";

/// Where the entry hosts are and which key to present.
pub struct Access {
    /// The operator ports, in the order in which they are tried.
    pub entries: Vec<SocketAddr>,
    /// The operator's key.
    pub key: String,
}

impl TryFrom<&Args> for Access {
    type Error = Error;

    fn try_from(args: &Args) -> Result<Self> {
        let file =
            match args.config.clone().or_else(|| env::var_os(CONFIG_VARIABLE).map(Into::into)) {
                Some(path) => File::load(&path)?,
                None => File::default(),
            };
        Ok(Self { entries: entries(args, file.entries)?, key: key(args, file.key_file)? })
    }
}

#[derive(Default)]
struct File {
    entries: Option<String>,
    key_file: Option<String>,
}

impl File {
    fn load(path: &Path) -> Result<Self> {
        let document = Document::load(path)?;
        document.allow_sections(&["operator"])?;
        let mut section = document.section("operator")?;
        let entries = section.value_or("entries", ENTRIES_ALLOWED, String::new())?;
        let key_file = section.value_or("key-file", "the path of a file", String::new())?;
        section.finish()?;
        let given = |value: String| Some(value).filter(|it| !it.is_empty());
        Ok(Self { entries: given(entries), key_file: given(key_file) })
    }
}

fn entries(args: &Args, in_file: Option<String>) -> Result<Vec<SocketAddr>> {
    if !args.entry.is_empty() {
        return Ok(args.entry.clone());
    }
    let raw = env::var(ENTRIES_VARIABLE).ok().or(in_file).ok_or(Error::NoEntry)?;
    let address = |part: &str| {
        let wrong = || format!("'{part}' is no entry host; write {ENTRIES_ALLOWED}.");
        part.trim().parse().map_err(|_| Error::Usage(wrong()))
    };
    raw.split(',').map(address).collect()
}

fn key(args: &Args, in_file: Option<String>) -> Result<String> {
    if let Some(path) = &args.key_file {
        return read_key(path);
    }
    if let Ok(key) = env::var(KEY_VARIABLE) {
        return Ok(key);
    }
    let path = env::var(KEY_FILE_VARIABLE).ok().or(in_file).ok_or(Error::NoKey)?;
    read_key(Path::new(&path))
}

fn read_key(path: &Path) -> Result<String> {
    let file = path.display().to_string();
    let key = fs::read_to_string(path).map_err(|e| Error::File { file, cause: e.to_string() })?;
    Ok(key.trim().to_owned())
}
