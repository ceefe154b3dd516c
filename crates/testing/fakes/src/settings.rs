//! Settings of a deployment, and start file of a front, for tests.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Settings with two zones and two request classes: `look-up` (idempotent) and `load` (non-idempotent bulk load).
pub fn settings() -> Value {
    let class = |name, latency_objective_us, deadline_us, effect| {
        json!({"name": name, "aim_us": latency_objective_us, "aim_stretch": 1.5, "hard_limit_us": deadline_us, "effect": effect,
            "points": 1.0, "late_value": 0.0, "group": "all", "key_ttl_us": 0, "stream": false})
    };
    json!({
        "areas": ["east", "west"], "kinds": ["std"], "balancers": 1, "my_number": 0, "zone": 0,
        "tick_us": 5000, "discovery": "pushed", "client_habits": {"marks_retry": true},
        "ceilings": {"cancel": true, "conn_idle_us": 30_000_000, "connect_timeout_us": 250_000,
            "max_attempts": 4, "max_retry_after_us": 2_000_000, "open_cap": 1000, "peers": false,
            "probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 32},
        "classes": [class("look-up", 1_000_000, 20_000_000, "safe"),
            class("load", 4_000_000, 20_000_000, "unsafe")],
        "family_info": {"class_load": [false, true], "class_threads": [1, 2], "cpu_of_kind": [8],
            "lanes_count": true, "memory_by_kind_mb": [16384.0], "note_period_us": 1_000_000,
            "says_cost": true, "takes_grants": true, "yields_to_loads": [true, false]},
        "obligations": {"ask_within_us": 10_000_000, "cold_from": 0.34, "cold_us": 14_000_000,
            "drain_grace_us": 2_000_000, "fall_multiple": 3.0, "tip_after_us": 1_500_000},
        "report": {"fields": ["busy"], "via": "on_probe"},
    })
}

/// Start file of a front, with these engines as active and the discovery server at this address.
pub fn start_config(engines: &[(u32, SocketAddr)], discovery: SocketAddr) -> Value {
    let member = |(id, address): &(u32, SocketAddr)| {
        json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "locality": "east",
            "flavor": "std", "cell": 0, "phase": "Ready", "size": 1, "up_since_ms": 0})
    };
    let members: Vec<Value> = engines.iter().map(member).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "channel": discovery.to_string(),
        "known": {"cursor": 1, "cmds": [{"nodes": {"revision": 1, "complete": true, "members": members}}]},
        "settings": settings(),
    })
}
