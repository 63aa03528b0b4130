//! Decides whether a request is admitted, and for which team, by the key that it presents.
//!
//! Keys are looked up by a short prefix of their digest and then compared in constant time. A
//! service that is open to all needs no key. An admitted request is checked again before it is sent.

use fuchsiamill_model::{
    Configuration, FastMap, Key, KeyDigest, KeyId, PoolName, Problem, ProblemKind, ServiceName,
    TeamName, config::Access,
};

/// On whose behalf a request is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bearer {
    /// A team, identified by one of its keys.
    Team {
        /// The team.
        team: TeamName,
        /// The public id of the key.
        key: KeyId,
        /// The digest of the key, so that a new key with the same id is not taken for the old one.
        digest: KeyDigest,
    },
    /// No team: the service is open to all.
    Open,
}

/// A request that may be queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The service that the request calls.
    pub service: ServiceName,
    /// The pool that serves the service.
    pub pool: PoolName,
    /// On whose behalf the request is made.
    pub bearer: Bearer,
}

/// The keys and services of one version of the configuration, indexed for look-up.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: FastMap<u64, Vec<Key>>,
    services: FastMap<ServiceName, (PoolName, Access)>,
}

impl From<&Configuration> for KeyRing {
    fn from(cfg: &Configuration) -> Self {
        let mut keys: FastMap<u64, Vec<Key>> = FastMap::default();
        for key in cfg.keys.values() {
            keys.entry(key.digest.prefix()).or_default().push(key.clone());
        }
        let service =
            |it: &fuchsiamill_model::Service| (it.name.clone(), (it.pool.clone(), it.access));
        Self { keys, services: cfg.services.values().map(service).collect() }
    }
}

impl KeyRing {
    /// Returns the presented key if it is in force.
    pub fn find(&self, presented: &str) -> Option<&Key> {
        let digest = KeyDigest::of(presented);
        self.keys.get(&digest.prefix())?.iter().find(|key| key.digest == digest)
    }

    /// Admits a request for a service, or returns why it may not be queued.
    pub fn admit(&self, service: &ServiceName, presented: Option<&str>) -> Result<Admitted> {
        let (pool, access) = self.services.get(service).ok_or_else(unknown_service)?;
        let bearer = match access {
            Access::Open => Bearer::Open,
            Access::Teams => self.bearer(presented)?,
        };
        Ok(Admitted { service: service.clone(), pool: pool.clone(), bearer })
    }

    /// Returns the team of a presented key, or why the key is refused.
    pub fn bearer(&self, presented: Option<&str>) -> Result<Bearer> {
        let presented = presented.ok_or_else(key_missing)?;
        let key = self.find(presented).ok_or_else(key_refused)?;
        Ok(Bearer::Team { team: key.team.clone(), key: key.id.clone(), digest: key.digest })
    }

    /// Checks whether a request that was admitted under an older configuration may still be sent.
    pub fn recheck(&self, admitted: &Admitted) -> Result<()> {
        let (pool, access) = self.services.get(&admitted.service).ok_or_else(unknown_service)?;
        if pool != &admitted.pool {
            return Err(Problem::not_run(
                ProblemKind::NoCapacity,
                "The service was moved to another pool while the request waited.",
            ));
        }
        match (&admitted.bearer, access) {
            (Bearer::Team { key, digest, .. }, _) => self.check_in_force(key, digest),
            (Bearer::Open, Access::Open) => Ok(()),
            (Bearer::Open, Access::Teams) => Err(key_missing()),
        }
    }

    fn check_in_force(&self, id: &KeyId, digest: &KeyDigest) -> Result<()> {
        let same_prefix = self.keys.get(&digest.prefix()).into_iter().flatten();
        let in_force = same_prefix.into_iter().any(|key| &key.id == id && &key.digest == digest);
        if in_force { Ok(()) } else { Err(key_refused()) }
    }
}

/// The result of an admission.
pub type Result<T> = std::result::Result<T, Problem>;

fn unknown_service() -> Problem {
    Problem::not_run(ProblemKind::NotFound, "There is no service of this name.")
}

fn key_missing() -> Problem {
    Problem::not_run(ProblemKind::KeyMissing, "The service needs a team's key and none came.")
}

fn key_refused() -> Problem {
    Problem::not_run(ProblemKind::KeyRefused, "The key is not known or was withdrawn.")
}
