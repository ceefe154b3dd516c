//! What a commit moves: each part prepares or declines, then all switch.

use async_channel::{Sender, bounded};
use lemonusher_desired_state::DesiredStateReader;
use lemonusher_model::Schema;
use lemonusher_routing::ManagementCall;
use lemonusher_store::Version;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};

pub type PartFuture = Pin<Box<dyn Future<Output = Result<(), String>> + Send>>;

/// A part of the front that follows what operators want.
pub trait Part: Send + Sync {
    fn name(&self) -> String;
    /// Looks at a version and holds what it needs of it ready, or declines it.
    fn prepare(&self, version: Arc<Version>) -> PartFuture;
    /// Takes up what it prepared for this version.
    fn activate(&self, number: u64) -> PartFuture;
    /// Forgets what it prepared for this version.
    fn discard(&self, number: u64) -> PartFuture;
}

/// The owner: membership and the door.
pub(crate) struct RouterPart {
    pub schema: Arc<Schema>,
    pub reader: DesiredStateReader,
    pub requests: Sender<ManagementCall>,
}

impl Part for RouterPart {
    fn name(&self) -> String {
        "the owner".to_owned()
    }

    fn prepare(&self, version: Arc<Version>) -> PartFuture {
        // Read here: the owner's thread only takes over what is ready.
        let wishes = self.reader.read(&self.schema, &version.tree);
        let requests = self.requests.clone();
        Box::pin(async move {
            let wishes = wishes.map_err(|faults| {
                faults.iter().map(|fault| fault.to_string()).collect::<Vec<_>>().join("; ")
            })?;
            let (reply, answer) = bounded(1);
            let wanted = Arc::new(wishes.desired_state);
            let request = ManagementCall::Prepare { number: version.number, desired_state: wanted, reply };
            requests.send(request).await.map_err(|_| "it has ended".to_owned())?;
            answer.recv().await.map_err(|_| "it has ended".to_owned())?.map_err(|error| error.to_string())
        })
    }

    fn activate(&self, number: u64) -> PartFuture {
        let requests = self.requests.clone();
        Box::pin(async move {
            let (reply, answer) = bounded(1);
            let request = ManagementCall::Activate { number, reply };
            requests.send(request).await.map_err(|_| "it has ended".to_owned())?;
            answer.recv().await.map_err(|_| "it has ended".to_owned())?.map_err(|error| error.to_string())
        })
    }

    fn discard(&self, number: u64) -> PartFuture {
        let requests = self.requests.clone();
        Box::pin(async move {
            let request = ManagementCall::Discard { number };
            requests.send(request).await.map_err(|_| "it has ended".to_owned())
        })
    }
}

/// The log's level.
pub(crate) struct LogLevelPart {
    pub schema: Arc<Schema>,
    pub reader: DesiredStateReader,
    pub set: Arc<dyn Fn(&str) + Send + Sync>,
    pub ready: Mutex<Option<(u64, String)>>,
}

impl LogLevelPart {
    fn held(&self) -> std::sync::MutexGuard<'_, Option<(u64, String)>> {
        self.ready.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Part for LogLevelPart {
    fn name(&self) -> String {
        "the log".to_owned()
    }

    fn prepare(&self, version: Arc<Version>) -> PartFuture {
        if let Ok(wishes) = self.reader.read(&self.schema, &version.tree) {
            *self.held() = Some((version.number, wishes.log_level));
        }
        Box::pin(async { Ok(()) })
    }

    fn activate(&self, number: u64) -> PartFuture {
        if let Some((_, level)) = self.held().take_if(|(ready, _)| *ready == number) {
            (self.set)(&level);
        }
        Box::pin(async { Ok(()) })
    }

    fn discard(&self, number: u64) -> PartFuture {
        self.held().take_if(|(ready, _)| *ready == number);
        Box::pin(async { Ok(()) })
    }
}
