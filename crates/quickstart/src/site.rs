//! The site: stand-ins and entry hosts on threads of this process.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use anyhow::Result;
use fuchsiamill_daemon::{Addresses, embedded::EntryThread};
use fuchsiamill_model::{EntryName, KeyDigest, Pool, PoolName, Slots, config::PoolRole};
use fuchsiamill_settings::Settings;
use fuchsiamill_standin::site::{DATA_CENTRES, PoolPlan, Standins, team};

/// The key of the quick start's operator.
pub const OPERATOR_KEY: &str = "quick-start-operator";
/// The service that the site serves.
pub const SERVICE: &str = "rota";
/// The key of the site's team.
pub const TEAM_KEY: &str = "north-key";

const ENTRIES: usize = 3;
const HOSTS: usize = 12;
const SPARE_HOSTS: usize = 4;
const LEAST_SERVING: Slots = 48;
const MOST_OUT: u32 = 4;
const TEAM: &str = "north";
const UPPER_LIMIT: u32 = 40;
const WORK_TIME: Duration = Duration::from_millis(30);
const SETTINGS: &str = include_str!("entry.ini");
const ANY_PORT: &str = "127.0.0.1:0";

/// A running site.
pub struct Site {
    /// The addresses of the entry hosts.
    pub entries: Vec<Addresses>,
    /// The stand-ins.
    pub standins: Standins,
}

impl Site {
    /// Starts the stand-ins, writes the first configuration and starts the entry hosts.
    pub fn start() -> Result<Self> {
        let listen: SocketAddr = ANY_PORT.parse()?;
        let standins = Standins::start(listen, HOSTS + SPARE_HOSTS, WORK_TIME)?;
        let mut peers = Vec::new();
        for index in 0..ENTRIES {
            peers.push((EntryName::try_from(format!("entry-{index}"))?, free_port()?));
        }
        let team = team(TEAM, UPPER_LIMIT)?;
        standins.seed(&standins.configuration(&pools()?, &[team], &peers)?)?;
        let mut entries = Vec::new();
        for (index, (name, peer)) in peers.iter().enumerate() {
            let text = settings(index, name, *peer, standins.platform);
            entries.push(EntryThread::start(Settings::parse("entry.ini", &text)?)?.addresses());
        }
        Ok(Self { entries, standins })
    }
}

fn pools() -> Result<[PoolPlan; 2]> {
    let serving = Pool {
        name: PoolName::try_from(SERVICE)?,
        role: PoolRole::Serving,
        least_serving: LEAST_SERVING,
        most_out_per_domain: MOST_OUT,
    };
    let spare = Pool {
        name: PoolName::try_from("spare")?,
        role: PoolRole::Spare,
        least_serving: 0,
        most_out_per_domain: MOST_OUT,
    };
    Ok([PoolPlan { pool: serving, hosts: HOSTS }, PoolPlan { pool: spare, hosts: SPARE_HOSTS }])
}

fn settings(index: usize, name: &EntryName, peer: SocketAddr, platform: SocketAddr) -> String {
    SETTINGS
        .replace("= NAME", &format!("= {name}"))
        .replace("= DATA-CENTRE", &format!("= dc-{}", index % DATA_CENTRES))
        .replace("= PEER", &format!("= {peer}"))
        .replace("= PLATFORM", &format!("= {platform}"))
        .replace("= OPERATOR-DIGEST", &format!("= {}", KeyDigest::of(OPERATOR_KEY)))
}

fn free_port() -> Result<SocketAddr> {
    Ok(TcpListener::bind(ANY_PORT)?.local_addr()?)
}
