//! Calls of management clients. A desired state is validated first; activating it applies all of it within
//! one event.

use super::{PreparedState, RequestRouter};
use crate::management::{EngineStatus, ManagementCall, ManagementError, Snapshot};
use lemonusher::{EndpointUpdateKind, EngineId};
use lemonusher_membership::DesiredState;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

impl RequestRouter {
    /// Handles a call of a management client and sends the result to its reply channel.
    pub(super) fn handle_management(&mut self, now: Duration, call: ManagementCall) {
        match call {
            ManagementCall::Prepare { number, desired_state, reply } => {
                let _ = reply.try_send(self.prepare(number, desired_state));
            }
            ManagementCall::Activate { number, reply } => {
                let _ = reply.try_send(self.activate(now, number));
            }
            ManagementCall::Discard { number } => {
                self.prepared.take_if(|prepared| prepared.number == number);
            }
            ManagementCall::Read { reply } => {
                let _ = reply.try_send(self.snapshot(now));
            }
        }
    }

    fn prepare(&mut self, number: u64, desired_state: Arc<DesiredState>) -> Result<(), ManagementError> {
        let stated = self.deployment.request_classes.len();
        if desired_state.limits().len() > stated {
            return Err(ManagementError::UnknownRequestClasses { stated });
        }
        self.prepared = Some(PreparedState { number, desired_state });
        Ok(())
    }

    fn activate(&mut self, now: Duration, number: u64) -> Result<(), ManagementError> {
        let prepared = self.prepared.take_if(|prepared| prepared.number == number);
        let Some(PreparedState { desired_state, .. }) = prepared else {
            return Err(ManagementError::NotPrepared { number });
        };
        log::info!(commit = number; "applying commit {number}");
        self.admission_limiter.set(desired_state.limits());
        let change = self.endpoints.apply_desired_state(desired_state);
        self.apply_endpoint_change(now, EndpointUpdateKind::Delta, change);
        Ok(())
    }

    fn snapshot(&self, now: Duration) -> Snapshot {
        let mut in_flight: BTreeMap<EngineId, u32> = BTreeMap::new();
        for attempt in self.attempts.values() {
            *in_flight.entry(attempt.engine).or_default() += 1;
        }
        let engines = (self.endpoints.engines())
            .map(|status| EngineStatus {
                address: self.addresses.get(&status.entry.engine).copied(),
                in_flight: in_flight.get(&status.entry.engine).copied().unwrap_or_default(),
                ejected: self.gateway.is_ejected(now, status.entry.engine),
                endpoint: status.clone(),
            })
            .collect();
        Snapshot {
            now,
            counters: self.counters.values(),
            request_classes: self.counters.request_classes().to_vec(),
            requests: self.requests.len(),
            attempts: self.attempts.len(),
            statement_bytes: self.statement_bytes,
            decision_time: self.counters.decision_time(),
            dropped_notifications: self.dropped_notifications,
            engines,
        }
    }
}
