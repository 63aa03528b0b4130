//! Checks which keys admit which requests, before and after changes of the configuration.

use fuchsiamill_model::{
    Configuration, Key, KeyDigest, KeyId, Pool, PoolName, ProblemKind, RunState, Service,
    ServiceName, Team,
    config::{Access, PoolRole},
    team::Urgency,
};
use fuchsiamill_policy::keys::{Bearer, KeyRing};

fn name<T: for<'a> TryFrom<&'a str>>(raw: &str) -> T {
    T::try_from(raw).unwrap_or_else(|_| panic!("'{raw}' is a name"))
}

fn key(id: &str, presented: &str) -> Key {
    Key { id: name(id), team: name("rota"), digest: KeyDigest::of(presented) }
}

fn configuration() -> Configuration {
    let mut cfg = Configuration::default();
    let pool = Pool {
        name: name("day"),
        role: PoolRole::Serving,
        least_serving: 0,
        most_out_per_domain: 1,
    };
    cfg.pools.insert(pool.name.clone(), pool);
    for (service, access) in [("swaps", Access::Teams), ("notices", Access::Open)] {
        let service = Service { name: name(service), pool: name("day"), access };
        cfg.services.insert(service.name.clone(), service);
    }
    let team =
        Team { name: name("rota"), share: 1, upper_limit: 4, queue: 10, urgent: Urgency::Normal };
    cfg.teams.insert(team.name.clone(), team);
    for key in [key("k1", "alpha"), key("k2", "beta")] {
        cfg.keys.insert(key.id.clone(), key);
    }
    cfg
}

fn kind(service: &str, presented: Option<&str>) -> Option<ProblemKind> {
    let ring = KeyRing::from(&configuration());
    let problem = ring.admit(&name::<ServiceName>(service), presented).err()?;
    assert_eq!(problem.run, RunState::NotRun);
    Some(problem.kind)
}

#[test]
fn only_a_key_in_force_admits() {
    assert_eq!(kind("swaps", Some("alpha")), None);
    assert_eq!(kind("swaps", Some("beta")), None);
    assert_eq!(kind("swaps", Some("gamma")), Some(ProblemKind::KeyRefused));
    assert_eq!(kind("swaps", Some("")), Some(ProblemKind::KeyRefused));
    assert_eq!(kind("swaps", None), Some(ProblemKind::KeyMissing));
    assert_eq!(kind("nothing", Some("alpha")), Some(ProblemKind::NotFound));
}

#[test]
fn an_open_service_needs_no_key_and_counts_for_no_team() {
    let ring = KeyRing::from(&configuration());
    for presented in [None, Some("alpha"), Some("gamma")] {
        let admitted = ring.admit(&name("notices"), presented).unwrap();
        assert_eq!(admitted.bearer, Bearer::Open);
    }
}

#[test]
fn a_withdrawn_key_fails_the_recheck() {
    let mut cfg = configuration();
    let admitted = KeyRing::from(&cfg).admit(&name("swaps"), Some("alpha")).unwrap();
    assert_eq!(KeyRing::from(&cfg).recheck(&admitted), Ok(()));
    cfg.keys.remove(&name::<KeyId>("k1"));
    let refused = KeyRing::from(&cfg).recheck(&admitted).unwrap_err();
    assert_eq!((refused.kind, refused.run), (ProblemKind::KeyRefused, RunState::NotRun));
}

#[test]
fn a_new_key_with_an_old_id_is_not_taken_for_the_old_one() {
    let mut cfg = configuration();
    let admitted = KeyRing::from(&cfg).admit(&name("swaps"), Some("alpha")).unwrap();
    cfg.keys.insert(name("k1"), key("k1", "delta"));
    assert!(KeyRing::from(&cfg).recheck(&admitted).is_err());
}

#[test]
fn a_service_that_moved_or_closed_refuses_waiting_requests() {
    let mut cfg = configuration();
    let waiting = KeyRing::from(&cfg).admit(&name("notices"), None).unwrap();
    let service = cfg.services.get_mut(&name::<ServiceName>("notices")).unwrap();
    service.access = Access::Teams;
    let refused = KeyRing::from(&cfg).recheck(&waiting).unwrap_err();
    assert_eq!(refused.kind, ProblemKind::KeyMissing);
    let service = cfg.services.get_mut(&name::<ServiceName>("notices")).unwrap();
    (service.access, service.pool) = (Access::Open, name::<PoolName>("night"));
    let refused = KeyRing::from(&cfg).recheck(&waiting).unwrap_err();
    assert_eq!(refused.kind, ProblemKind::NoCapacity);
}

#[test]
fn no_error_or_debug_text_holds_a_key() {
    let cfg = configuration();
    let ring = KeyRing::from(&cfg);
    let admitted = ring.admit(&name("swaps"), Some("alpha")).unwrap();
    let refused = ring.admit(&name("swaps"), Some("s3cr3t")).unwrap_err();
    let text = format!("{ring:?} {admitted:?} {refused:?}");
    let digest = KeyDigest::of("alpha").to_string();
    assert!(!text.contains("s3cr3t") && !text.contains("alpha") && !text.contains(&digest));
}
