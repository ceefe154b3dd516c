//! Retries that reach a processor which remembers the request: the program runs as a process, behind a fake proxy
//! and with fake engines that count each request's runs. Each test forces the order of events.

#[path = "managers/mod.rs"]
#[allow(dead_code)]
mod managers;
#[path = "proxies/mod.rs"]
#[allow(dead_code)]
mod proxies;

use managers::{Gnmi, update};
use proxies::*;
use std::net::SocketAddr;
use tokio::runtime::Runtime;

/// The only request class of the tests' deployment whose requests must not run twice.
const NON_IDEMPOTENT: &str = "load";
const POOL: &str = "/front/pool[name=a]";
/// Id of the first engine, as managers write it.
const FIRST_ENGINE: &str = "00000001";

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

/// A processor whose pools a manager can change.
async fn start_managed(engine: SocketAddr) -> (Processor, Gnmi) {
    let processor = Processor::new(
        &[engine],
        "recovers = false\nmessage_timeout_ms = 300\n[managed]\n[managed.gnmi]\nlisten = \"127.0.0.1:0\"",
    );
    let gnmi = processor.front.as_ref().unwrap().startup_log_value("gNMI at").unwrap().parse().unwrap();
    (processor, Gnmi::connect(gnmi).await)
}

async fn set_pool_state(manager: &mut Gnmi, state: &str) {
    let pool = serde_json::json!({"name": "a", "engine": [FIRST_ENGINE], "admin-state": state});
    manager.set(vec![update(POOL, &pool)]).await.unwrap();
}

/// Guards against a processor that forwards a request again because it had rejected it before another processor
/// forwarded it.
#[test]
fn rejection_remembered_here_does_not_outweigh_another_processors_token() {
    runtime().block_on(async {
        let engine = HttpEngine::start(|_| HttpEngineBehavior::HangUp).await;
        let (rejecting, mut manager) = start_managed(engine.address).await;
        let (forwarding, _other_manager) = start_managed(engine.address).await;
        // The only engine is drained at one processor, which therefore rejects the request.
        set_pool_state(&mut manager, "draining").await;
        let first = Proxy::new(&[rejecting.address], None).request("once-1", NON_IDEMPOTENT).await;
        assert_eq!((first.status, first.outcome.as_deref()), (503, Some("pushed-back")));
        assert_eq!(engine.run_counts().get("once-1"), None);
        set_pool_state(&mut manager, "enabled").await;
        // The client sends it again, through a proxy that takes the processors in turn. It runs by the verdict of the
        // other one, and its connection is closed without a response.
        let proxy = Proxy::new(&[forwarding.address, rejecting.address], None);
        let second = proxy.request("once-1", NON_IDEMPOTENT).await;
        assert_eq!(engine.run_counts().get("once-1"), Some(&1), "{second:?}");
        assert_eq!((second.status, second.outcome.as_deref()), (502, Some("errored")));
        assert_eq!(second.attempts, 2);
    });
}
