//! Reads of the state while the request router does not take calls.

use super::*;
use lemonusher_store::Bounds;

/// A hub whose queue to the router is full, and the router's side of the queue.
fn hub_with_full_queue() -> (Arc<Hub>, async_channel::Receiver<ManagementCall>) {
    let (requests, queue) = async_channel::bounded(1);
    let (reply, _) = async_channel::bounded(1);
    requests.try_send(ManagementCall::Read { reply }).unwrap();
    let schema = Arc::new(Schema::front().unwrap());
    let store = Store::new(schema.clone(), Bounds { history: 3, sessions: 4 });
    let hub = Hub::new(HubSetup {
        schema,
        names: Names::default(),
        front: "n0".to_owned(),
        store,
        disk: None,
        parts: Vec::new(),
        requests,
        freshness: Duration::from_millis(100),
    });
    (hub, queue)
}

/// Guards against readers of the state that wait without end, one behind the other, while the router's queue is full.
#[tokio::test(start_paused = true)]
async fn readers_do_not_wait_for_a_full_queue_of_the_router_longer_than_for_a_part() {
    let (hub, _queue) = hub_with_full_queue();
    let selection = StateSelection { state: true, snapshot: true, ..StateSelection::default() };
    let started = tokio::time::Instant::now();
    let readers = (0..3).map(|_| {
        let hub = hub.clone();
        tokio::spawn(async move { hub.view(false, selection).await })
    });
    let readers: Vec<_> = readers.collect();
    for reader in readers {
        tokio::time::timeout(PART_TIMEOUT * 10, reader).await.expect("the reader gets an answer").unwrap();
    }
    assert_eq!(started.elapsed().as_secs(), PART_TIMEOUT.as_secs());
}
