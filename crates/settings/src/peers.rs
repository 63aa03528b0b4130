//! Section `[peers]`: the entry hosts to start with.

use std::{collections::BTreeMap, net::SocketAddr};

use fuchsiamill_model::EntryName;

use crate::{
    error::{Error, Result},
    section::Section,
};

const ADDRESS: &str = "IP:PORT with a port from 1 to 65535";

/// The peer address of every entry host, this one included.
///
/// Used to find peers before the configuration is known, and as the first record of entry hosts
/// when the table has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers(pub BTreeMap<EntryName, SocketAddr>);

impl TryFrom<Section<'_>> for Peers {
    type Error = Error;

    fn try_from(section: Section<'_>) -> Result<Self> {
        let check = section.clone();
        let names = "names of entry hosts";
        let entries: Vec<(EntryName, SocketAddr)> = section.entries(names, ADDRESS)?;
        if let Some((name, address)) = entries.iter().find(|(_, address)| address.port() == 0) {
            return Err(check.refused(name.as_str(), &address.to_string(), ADDRESS));
        }
        Ok(Self(entries.into_iter().collect()))
    }
}
