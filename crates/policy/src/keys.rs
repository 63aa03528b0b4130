//! Which team a presented key works for.
//!
//! Keys are found by a short part of their digest and then compared in constant time. A service
//! that is open to all needs none. What was admitted is checked again before it is sent.

use fuchsiamill_model::{
    Configuration, FastMap, Key, KeyDigest, KeyId, PoolName, Problem, ProblemKind, ServiceName,
    TeamName, config::Access,
};

/// Who a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bearer {
    /// A team, by one of its keys.
    Team {
        /// The team.
        team: TeamName,
        /// The key's public id.
        key: KeyId,
        /// The key's digest, so that a new key under the same id does not pass for the old one.
        digest: KeyDigest,
    },
    /// Everyone: the service is open to all.
    Open,
}

/// A request that may be queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The service.
    pub service: ServiceName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Who it is for.
    pub bearer: Bearer,
}

/// The keys and services of one version of the configuration, arranged for look-ups.
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
    /// The key that was presented, if it is in force.
    pub fn find(&self, presented: &str) -> Option<&Key> {
        let digest = KeyDigest::of(presented);
        self.keys.get(&digest.prefix())?.iter().find(|key| key.digest == digest)
    }

    /// Whether a request for a service may be queued, and for whom.
    pub fn admit(&self, service: &ServiceName, presented: Option<&str>) -> Result<Admitted> {
        let (pool, access) = self.services.get(service).ok_or_else(no_service)?;
        let bearer = match access {
            Access::Open => Bearer::Open,
            Access::Teams => self.bearer(presented)?,
        };
        Ok(Admitted { service: service.clone(), pool: pool.clone(), bearer })
    }

    /// The team of a presented key.
    pub fn bearer(&self, presented: Option<&str>) -> Result<Bearer> {
        let presented = presented.ok_or_else(key_missing)?;
        let key = self.find(presented).ok_or_else(key_refused)?;
        Ok(Bearer::Team { team: key.team.clone(), key: key.id.clone(), digest: key.digest })
    }

    /// Whether what was admitted under an older configuration may still be sent.
    pub fn recheck(&self, admitted: &Admitted) -> Result<()> {
        let (pool, access) = self.services.get(&admitted.service).ok_or_else(no_service)?;
        if pool != &admitted.pool {
            return Err(Problem::not_run(
                ProblemKind::NoCapacity,
                "The service was moved to another pool while the request waited.",
            ));
        }
        match (&admitted.bearer, access) {
            (Bearer::Team { key, digest, .. }, _) => self.still_in_force(key, digest),
            (Bearer::Open, Access::Open) => Ok(()),
            (Bearer::Open, Access::Teams) => Err(key_missing()),
        }
    }

    fn still_in_force(&self, id: &KeyId, digest: &KeyDigest) -> Result<()> {
        let same_prefix = self.keys.get(&digest.prefix()).into_iter().flatten();
        let in_force = same_prefix.into_iter().any(|key| &key.id == id && &key.digest == digest);
        if in_force { Ok(()) } else { Err(key_refused()) }
    }
}

/// The result of an admission.
pub type Result<T> = std::result::Result<T, Problem>;

fn no_service() -> Problem {
    Problem::not_run(ProblemKind::NotFound, "There is no service of this name.")
}

fn key_missing() -> Problem {
    Problem::not_run(ProblemKind::KeyMissing, "The service needs a team's key and none came.")
}

fn key_refused() -> Problem {
    Problem::not_run(ProblemKind::KeyRefused, "The key is not known or was withdrawn.")
}
