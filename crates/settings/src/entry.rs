//! Section `[entry]`: who this entry host is and where it listens.

use std::net::SocketAddr;

use fuchsiamill_model::{DataCentre, EntryName, Region};

use crate::{
    error::{Error, Result},
    section::Section,
};

const NAME: &str = "a name of 1 to 64 letters, digits, '-', '_' and '.'";
const ADDRESS: &str = "IP:PORT; port 0 takes any free port";

/// Who this entry host is and where it listens. Port 0 takes any free port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, the same over restarts.
    pub name: EntryName,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where the other entry hosts connect.
    pub peer: SocketAddr,
    /// Where metrics, readiness and liveness are served.
    pub metrics: SocketAddr,
}

impl TryFrom<Section<'_>> for Entry {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let entry = Self {
            name: section.value("name", NAME)?,
            region: section.value("region", NAME)?,
            data_centre: section.value("data-centre", NAME)?,
            caller: section.value("caller", ADDRESS)?,
            operator: section.value("operator", ADDRESS)?,
            peer: section.value("peer", ADDRESS)?,
            metrics: section.value("metrics", ADDRESS)?,
        };
        section.finish()?;
        Ok(entry)
    }
}
