//! The parts of the front, which are the participants in the two-phase commit: each prepares a version or declines it;
//! once all have prepared and the version is logged, all activate it.

use async_channel::{Sender, bounded};
use lemonusher_desired_state::DesiredStateReader;
use lemonusher_model::Schema;
use lemonusher_routing::ManagementCall;
use lemonusher_store::Version;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};

/// The reply of a part; an error is the reason why it declined or failed.
pub type PartFuture = Pin<Box<dyn Future<Output = Result<(), String>> + Send>>;

/// A part of the front that applies the desired state, as a participant in the two-phase commit.
pub trait Part: Send + Sync {
    /// The name in error messages and in log lines.
    fn name(&self) -> String;
    /// Phase one: prepares to apply a version, or declines it.
    fn prepare(&self, version: Arc<Version>) -> PartFuture;
    /// Phase two: applies the prepared version. The version is already logged, so an error can't abort the commit.
    fn activate(&self, number: u64) -> PartFuture;
    /// Discards the prepared version, after the commit has failed.
    fn discard(&self, number: u64) -> PartFuture;
}

/// The request router as a part: it applies pools and admission limits.
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
        // The desired state is read from the tree here, so that the router's thread only has to swap it in.
        let desired = self.reader.read(&self.schema, &version.tree);
        let requests = self.requests.clone();
        Box::pin(async move {
            let desired = desired.map_err(|faults| {
                faults.iter().map(|fault| fault.to_string()).collect::<Vec<_>>().join("; ")
            })?;
            let (reply, answer) = bounded(1);
            let desired_state = Arc::new(desired.desired_state);
            let request = ManagementCall::Prepare { number: version.number, desired_state, reply };
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

/// The level of the process's log as a part.
pub(crate) struct LogLevelPart {
    pub schema: Arc<Schema>,
    pub reader: DesiredStateReader,
    pub set: Arc<dyn Fn(&str) + Send + Sync>,
    pub prepared: Mutex<Option<PreparedLevel>>,
}

/// The log level of a prepared version.
pub(crate) struct PreparedLevel {
    version: u64,
    level: String,
}

impl LogLevelPart {
    fn prepared(&self) -> std::sync::MutexGuard<'_, Option<PreparedLevel>> {
        self.prepared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Part for LogLevelPart {
    fn name(&self) -> String {
        "the log".to_owned()
    }

    fn prepare(&self, version: Arc<Version>) -> PartFuture {
        if let Ok(desired) = self.reader.read(&self.schema, &version.tree) {
            *self.prepared() = Some(PreparedLevel { version: version.number, level: desired.log_level });
        }
        Box::pin(async { Ok(()) })
    }

    fn activate(&self, number: u64) -> PartFuture {
        let prepared = self.prepared().take_if(|prepared| prepared.version == number);
        if let Some(prepared) = prepared {
            (self.set)(&prepared.level);
        }
        Box::pin(async { Ok(()) })
    }

    fn discard(&self, number: u64) -> PartFuture {
        self.prepared().take_if(|prepared| prepared.version == number);
        Box::pin(async { Ok(()) })
    }
}
