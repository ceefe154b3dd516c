//! Retries that reach a processor which remembers the request: the program runs as a process, behind a fake proxy
//! and with fake engines that count each request's runs. Each test forces the order of events.

#[path = "managers/mod.rs"]
#[allow(dead_code)]
mod managers;
#[path = "proxies/mod.rs"]
#[allow(dead_code)]
mod proxies;

use envoy_types::pb::envoy::config::core::v3::HeaderValue;
use envoy_types::pb::envoy::service::ext_proc::v3::ProcessingResponse;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_request::Request as MessageBody;
use envoy_types::pb::envoy::service::ext_proc::v3::processing_response::Response as ReplyBody;
use lemonusher_fakes::{DiscoveryConnection, DiscoveryServer, Front, TEST_TIMEOUT, delta_frame};
use managers::{Gnmi, update};
use proxies::*;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use tonic::Streaming;

/// The request class of the tests' deployment whose requests must not run twice.
const LOAD: &str = "load";
/// The request class whose requests may run again.
const LOOK_UP: &str = "look-up";
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

/// A proxy's first message about one attempt of a request.
fn attempt_headers(id: &str, request_class: &str, attempt: u32, token: Option<&str>) -> MessageBody {
    let header = |key: &str, value: &str| HeaderValue {
        key: key.into(),
        raw_value: value.as_bytes().to_vec(),
        ..Default::default()
    };
    let mut list = vec![
        header("x-request-id", id),
        header("x-service-group", request_class),
        header("x-envoy-attempt-count", &attempt.to_string()),
    ];
    list.extend(token.map(|token| header("x-lemonusher-ticket", token)));
    MessageBody::RequestHeaders(headers(list))
}

/// The processor's verdict to forward a request.
struct Verdict {
    /// The continuation token.
    token: String,
    engine: SocketAddr,
}

/// Waits for the processor's verdict to forward the request.
async fn verdict(responses: &mut Streaming<ProcessingResponse>) -> Verdict {
    verdict_or_response(responses).await.expect("the request is not forwarded")
}

/// Waits for the processor's verdict; none if it responds to the client instead.
async fn verdict_or_response(responses: &mut Streaming<ProcessingResponse>) -> Option<Verdict> {
    let message = tokio::time::timeout(TEST_TIMEOUT, responses.message()).await.expect("a verdict in time");
    let response = message.unwrap().unwrap().response;
    let verdict = match response {
        Some(ReplyBody::RequestHeaders(verdict)) => verdict,
        Some(ReplyBody::ImmediateResponse(_)) => return None,
        other => panic!("neither forwarded nor responded to: {other:?}"),
    };
    let options = verdict.response.unwrap().header_mutation.unwrap().set_headers;
    let value = |key: &str| {
        let header = options.iter().filter_map(|option| option.header.as_ref()).find(|h| h.key == key);
        String::from_utf8(header.unwrap().raw_value.clone()).unwrap()
    };
    Some(Verdict {
        token: value("x-lemonusher-ticket"),
        engine: value("x-envoy-original-dst-host").parse().unwrap(),
    })
}

/// Status and outcome of the processor's response to the client; status 0 for a verdict to forward the request.
async fn immediate_response(responses: &mut Streaming<ProcessingResponse>) -> (i32, String) {
    let message = tokio::time::timeout(TEST_TIMEOUT, responses.message()).await.expect("a response in time");
    let Some(ReplyBody::ImmediateResponse(response)) = message.unwrap().unwrap().response else {
        return (0, "forwarded".to_owned());
    };
    let options = response.headers.unwrap_or_default().set_headers;
    let outcome =
        options.into_iter().filter_map(|option| option.header).find(|h| h.key == "x-lemonusher-outcome");
    let outcome = outcome.map(|header| String::from_utf8_lossy(&header.raw_value).into_owned());
    (response.status.unwrap().code, outcome.unwrap_or_default())
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
        let first = Proxy::new(&[rejecting.address], None).request("once-1", LOAD).await;
        assert_eq!((first.status, first.outcome.as_deref()), (503, Some("pushed-back")));
        assert_eq!(engine.run_counts().get("once-1"), None);
        set_pool_state(&mut manager, "enabled").await;
        // The client sends it again, through a proxy that takes the processors in turn. It runs by the verdict of the
        // other one, and its connection is closed without a response.
        let proxy = Proxy::new(&[forwarding.address, rejecting.address], None);
        let second = proxy.request("once-1", LOAD).await;
        assert_eq!(engine.run_counts().get("once-1"), Some(&1), "{second:?}");
        assert_eq!((second.status, second.outcome.as_deref()), (502, Some("errored")));
        assert_eq!(second.attempts, 2);
    });
}

/// Guards against a rejection that the proxy could not read in time and that is remembered as proof that nothing ran.
#[test]
fn rejection_after_the_proxys_timeout_proves_nothing_if_the_proxy_fails_open() {
    const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1200);
    runtime().block_on(async {
        // No engine is known, so each request waits for its verdict until shortly before the proxy's timeout.
        let timeout = MESSAGE_TIMEOUT.as_millis();
        let toml = format!("fails = \"open\"\nmessage_timeout_ms = {timeout}\nmore_time_ms = {timeout}");
        let processor = Processor::new(&[], &toml);
        let front = processor.front.as_ref().unwrap();
        let proxy = Proxy::new(&[processor.address], None);
        let mut streams = Vec::new();
        for (id, next_attempt) in [("once-1", 2), ("once-2", 1)] {
            let (send, responses, _) = proxy.open(processor.address).await.unwrap();
            send.send(message(attempt_headers(id, LOAD, 1, None))).await.unwrap();
            streams.push((id, next_attempt, send, responses));
        }
        for (id, _, _, responses) in &mut streams {
            let extension = tokio::time::timeout(TEST_TIMEOUT, responses.message()).await.unwrap();
            assert!(extension.unwrap().unwrap().override_message_timeout.is_some(), "{id}");
        }
        // The processor knows the requests now, and stops. Their proxy's timeout passes, so that it forwards them
        // without a verdict; the resets of their streams are on their way when the processor goes on.
        front.freeze();
        tokio::time::sleep(MESSAGE_TIMEOUT * 3 / 2).await;
        front.signal("CONT");
        for (id, next_attempt, send, mut responses) in streams {
            assert_eq!(immediate_response(&mut responses).await, (502, "errored".to_owned()), "{id}");
            drop((send, responses));
            let (send, mut responses, _) = proxy.open(processor.address).await.unwrap();
            send.send(message(attempt_headers(id, LOAD, next_attempt, None))).await.unwrap();
            assert_eq!(immediate_response(&mut responses).await, (502, "errored".to_owned()), "{id}");
        }
    });
}

/// Guards against an attempt that is granted ahead for the proxy's retry and forwarded after engines have ceased to drop
/// repeats.
#[test]
fn attempt_granted_ahead_is_not_forwarded_past_the_deduplication_window() {
    const RETENTION: Duration = Duration::from_secs(2);
    runtime().block_on(async {
        let engines = [
            HttpEngine::start(|_| HttpEngineBehavior::Serve).await,
            HttpEngine::start(|_| HttpEngineBehavior::Serve).await,
        ];
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        let toml = "recovers = false\nretry_within_ms = 3000";
        // A retry inside the window is forwarded; one after its end is not.
        for (id, retry_after, is_forwarded) in
            [("keyed-1", RETENTION / 2, true), ("keyed-2", RETENTION + Duration::from_millis(100), false)]
        {
            let processor = Processor::with_start_file(&addresses, toml, |start_file| {
                let class = &mut start_file["settings"]["classes"][1];
                class["effect"] = "keyed".into();
                class["key_ttl_us"] = (RETENTION.as_micros() as u64).into();
            });
            let proxy = Proxy::new(&[processor.address], None);
            let (send, mut responses, _) = proxy.open(processor.address).await.unwrap();
            send.send(message(attempt_headers(id, LOAD, 1, None))).await.unwrap();
            let token = verdict(&mut responses).await.token;
            let started = Instant::now();
            // The connection to the engine is reset well before the window ends, so that the next attempt is granted
            // ahead. The proxy's retry comes later.
            tokio::time::sleep(retry_after - RETENTION / 4).await;
            drop((send, responses));
            tokio::time::sleep(retry_after.saturating_sub(started.elapsed())).await;
            let (send, mut responses, _) = proxy.open(processor.address).await.unwrap();
            send.send(message(attempt_headers(id, LOAD, 2, Some(&token)))).await.unwrap();
            match is_forwarded {
                true => drop(verdict(&mut responses).await),
                false => assert_eq!(immediate_response(&mut responses).await, (502, "errored".to_owned())),
            }
        }
    });
}

/// How an engine starts to drain, as the processor learns it.
#[derive(Debug, Clone, Copy)]
enum DrainSource {
    /// The discovery channel lists it as draining.
    Discovery,
    /// A manager drains its pool.
    Manager,
    /// The discovery channel lists it as draining while the processor stands still.
    StandStill,
}

/// Guards against an attempt that is granted ahead for the proxy's retry and forwarded to an engine that has started to
/// drain since.
#[test]
fn attempt_granted_ahead_is_not_forwarded_to_an_engine_that_drains() {
    runtime().block_on(async {
        let engines = [
            HttpEngine::start(|_| HttpEngineBehavior::Serve).await,
            HttpEngine::start(|_| HttpEngineBehavior::Serve).await,
        ];
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        for source in [DrainSource::Discovery, DrainSource::Manager, DrainSource::StandStill] {
            let discovery = DiscoveryServer::start();
            let toml = "recovers = false\nretry_within_ms = 5000\n\
                        [managed]\n[managed.gnmi]\nlisten = \"127.0.0.1:0\"";
            let processor = Processor::with_start_file(&addresses, toml, |start_file| {
                start_file["channel"] = discovery.address.to_string().into();
            });
            let front = processor.front.as_ref().unwrap();
            let gnmi = front.startup_log_value("gNMI at").unwrap().parse().unwrap();
            let mut manager = Gnmi::connect(gnmi).await;
            let DiscoveryConnection { mut stream, .. } = discovery.next_connection();
            let proxy = Proxy::new(&[processor.address], None);
            let (send, mut responses, _) = proxy.open(processor.address).await.unwrap();
            send.send(message(attempt_headers("read-1", LOOK_UP, 1, None))).await.unwrap();
            let first = verdict(&mut responses).await;
            // The connection to the engine is reset, so that the next attempt is granted ahead: to the other engine.
            drop((send, responses));
            wait_for_dispatch(front, 2);
            let (send, mut responses, _) = proxy.open(processor.address).await.unwrap();
            let reserved = addresses.iter().position(|address| *address != first.engine).unwrap();
            let drains = delta_frame(2, &[(reserved as u32 + 1, addresses[reserved], 1)]);
            match source {
                DrainSource::Discovery => {
                    stream.write_all(&drains).unwrap();
                    front.wait_for_log("is Leaving");
                }
                DrainSource::Manager => {
                    let engine = format!("{:08x}", reserved + 1);
                    let pool =
                        serde_json::json!({"name": "a", "engine": [engine], "admin-state": "draining"});
                    manager.set(vec![update(POOL, &pool)]).await.unwrap();
                }
                DrainSource::StandStill => front.freeze(),
            }
            send.send(message(attempt_headers("read-1", LOOK_UP, 2, Some(&first.token)))).await.unwrap();
            if let DrainSource::StandStill = source {
                stream.write_all(&drains).unwrap();
                tokio::time::sleep(Duration::from_millis(300)).await;
                front.signal("CONT");
            }
            // The engine of the first attempt has just failed, so a rejection is allowed too.
            let engine = verdict_or_response(&mut responses).await.map(|verdict| verdict.engine);
            assert_ne!(engine, Some(addresses[reserved]), "{source:?}");
        }
    });
}

/// Waits until the processor has granted this number of look-ups an attempt.
fn wait_for_dispatch(front: &Front, count: u32) {
    let is_dispatched = || {
        front.signal("USR1");
        front.wait_for_log("counts:").contains(&format!("dispatched look-up={count}"))
    };
    assert!((0..200).any(|_| is_dispatched()), "not dispatched");
}
