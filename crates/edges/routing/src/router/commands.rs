//! Sends commands to the engine driver, in order. The driver's queue has a limited length; commands that do
//! not fit wait in a backlog.
//!
//! While [`MAX_COMMAND_BACKLOG`] commands or more wait, attempts end at once as not sent, probes are not
//! sent, and changes of priority are dropped. None of this counts as a success or failure of an engine.
//! Cancels, withdrawals and endpoint lists are always queued, as there are few of them. An attempt in flight
//! is cancelled at most once by the gateway, once at its timeout, once after a panic and once per recall by
//! management clients. It is withdrawn at most once at its start deadline and once when its request is
//! finished. There are as many lists as discovery sends.

use super::{InFlightProbe, RequestRouter};
use crate::messages::{EngineCommand, RouterEvent, Token};
use lemonusher::AttemptOutcome;
use std::time::Duration;

/// Length of the backlog from which on attempts and probes are not sent.
const MAX_COMMAND_BACKLOG: usize = 4096;

impl RequestRouter {
    /// Queues a command for the engine driver. If the backlog is full, an attempt ends at once as not sent
    /// and a change of priority is dropped.
    pub(super) fn queue_command(&mut self, command: EngineCommand) {
        match command {
            EngineCommand::Send { token, .. } if self.backlog_is_full() => {
                self.pending_events.push_back(RouterEvent::attempt_ended(token, AttemptOutcome::NotSent));
            }
            EngineCommand::SetPriority { .. } if self.backlog_is_full() => {}
            command => self.command_backlog.push_back(command),
        }
        self.flush_commands();
    }

    /// Returns whether the backlog is too long for further attempts and probes.
    pub(super) fn backlog_is_full(&self) -> bool {
        self.command_backlog.len() >= MAX_COMMAND_BACKLOG
    }

    /// Moves commands from the backlog to the driver's queue until that is full; the rest is moved at a later
    /// call, for which a wakeup is set a tick from now.
    pub(super) fn flush_commands(&mut self) {
        while let Some(command) = self.command_backlog.pop_front() {
            if let Err(rejected) = self.commands.try_send(command) {
                self.command_backlog.push_front(rejected.into_inner());
                self.wakeups.insert(self.clock.now() + self.deployment.tick);
                return;
            }
        }
    }

    /// Ends an attempt or probe whose command still waits in the backlog, and returns whether there was one.
    /// Nothing was sent, so this end does not count against the engine.
    pub(super) fn end_unsent(&mut self, now: Duration, token: Token) -> bool {
        let waiting = self.command_backlog.iter().position(|command| command.token() == Some(token));
        let Some(index) = waiting else { return false };
        self.command_backlog.remove(index);
        if let Some(InFlightProbe { engine, sent_at }) = self.probes.remove(&token)
            && let Some(zone_monitor) = &mut self.zone_monitor
        {
            zone_monitor.handle_probe_not_sent(now, engine, sent_at);
        }
        // If the token belongs to a probe, this event matches no attempt and is ignored.
        self.handle_event(now, RouterEvent::attempt_ended(token, AttemptOutcome::NotSent));
        true
    }
}

#[cfg(test)]
#[path = "../../tests/unit/commands.rs"]
mod tests;
