//! A small site: a pool with machines, a spare pool, a private queue and a public one.

use std::sync::Arc;

use crate::{Case, entry::Platform, fleet::Fleet, json::Json, store::Store};

pub const IP: &str = "127.0.0.1";

/// The manifest. The queue `/swap/` needs a key of the tenant `north`, the queue `/board/` needs none.
pub const CONFIG: &str = r#"{"version":1,"routes":[{"name":"r-swap","host":"swap.example","path_prefix":"/swap/","kind":"non_idempotent","service":"swapdesk","priority":0,"max_attempts":3,"stretch":1.6,"target_duration_ms":600,"timeout_ms":3000,"public":false},{"name":"r-board","host":"swap.example","path_prefix":"/board/","kind":"non_idempotent","service":"swapdesk","priority":0,"max_attempts":4,"stretch":2.2,"target_duration_ms":2500,"timeout_ms":3000,"public":true}],"services":[{"name":"swapdesk","health_path":"/health","rejects_overload":true,"spare":false},{"name":"backoffice","health_path":"/health","rejects_overload":true,"spare":true}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144},"tenants":[{"name":"north","api_keys":["north-key"],"weight":50,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}]}"#;

/// The headers of a call with the tenant's key.
pub const NORTH: [(&str, &str); 3] = [
    ("Host", "swap.example"),
    ("X-Api-Key", "north-key"),
    ("X-Fuchsiamill-Request-Deadline", "3000"),
];

/// The platform of a site.
pub struct Site {
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    pub platform: Platform,
}

impl Site {
    pub fn start(case: &Case) -> Self {
        let (store, store_addr) = Store::start(IP);
        let pools = [("swapdesk", 6), ("backoffice", 4)];
        let (fleet, cloud) =
            Fleet::start(IP, store.clone(), case.record.clone(), "backoffice", &pools);
        store.put("op", "config", CONFIG);
        Self { store, fleet, platform: Platform { store: store_addr, cloud } }
    }

    /// Returns the holder of the lease and its term, which is the fence number of its orders.
    pub fn holder(&self) -> (String, u64) {
        let row = self.store.get("coordinator", "lease").unwrap_or_default();
        let row = Json::parse(&row).unwrap_or(Json::Null);
        (row.get("holder").text().to_owned(), row.get("term").int())
    }
}
