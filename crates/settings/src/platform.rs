//! Section `[platform]`: where the platform's services are.

use std::net::SocketAddr;

use fuchsiamill_model::Millisecond;

use crate::{
    error::{Error, Result},
    section::Section,
};

const ADDRESS: &str = "IP:PORT with a port from 1 to 65535";

/// Where the platform's services are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The transactional table service.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of live and leaving hosts.
    pub hosts: SocketAddr,
    /// How long one exchange with a service may take.
    pub request_timeout_ms: Millisecond,
}

impl TryFrom<Section<'_>> for Platform {
    type Error = Error;

    fn try_from(mut section: Section<'_>) -> Result<Self> {
        let platform = Self {
            table: address(&mut section, "table")?,
            objects: address(&mut section, "objects")?,
            hosts: address(&mut section, "hosts")?,
            request_timeout_ms: section.number("request-timeout-ms", 2_000, 10..=60_000)?,
        };
        section.finish()?;
        Ok(platform)
    }
}

fn address(section: &mut Section<'_>, key: &'static str) -> Result<SocketAddr> {
    let address: SocketAddr = section.value(key, ADDRESS)?;
    if address.port() == 0 {
        return Err(section.refused(key, &address.to_string(), ADDRESS));
    }
    Ok(address)
}
