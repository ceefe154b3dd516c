//! Commands to the engines' side, in order. Its queue is bounded; what it has no room for waits in a backlog. From
//! [`MAX_COMMAND_BACKLOG`] on, attempts and probes fail at once; other commands still enter it.

use super::RequestRouter;
use crate::messages::{EngineCommand, RouterEvent};
use lemonusher::AttemptOutcome;

/// Commands that wait for the engines' side before attempts and probes fail.
const MAX_COMMAND_BACKLOG: usize = 4096;

impl RequestRouter {
    /// Hands a command to the engines' side, in order. An attempt for which there is no room ends at once as one that could
    /// not connect, and a probe as not answered; the gateway ejects an engine for either.
    pub(super) fn queue_command(&mut self, command: EngineCommand) {
        let is_full = self.command_backlog.len() >= MAX_COMMAND_BACKLOG;
        match command {
            EngineCommand::Send { token, .. } if is_full => {
                let event = RouterEvent::attempt_ended(token, AttemptOutcome::ConnectFailed);
                self.pending_events.push_back(event);
            }
            EngineCommand::Probe { token, .. } if is_full => {
                let event = RouterEvent::ProbeEnded { token, answered: false, load: None };
                self.pending_events.push_back(event);
            }
            command => self.command_backlog.push_back(command),
        }
        self.flush_commands();
    }

    /// Hands over as much of the backlog as there is room for; the rest is tried again a tick later.
    pub(super) fn flush_commands(&mut self) {
        while let Some(command) = self.command_backlog.pop_front() {
            if let Err(rejected) = self.commands.try_send(command) {
                self.command_backlog.push_front(rejected.into_inner());
                self.wakeups.insert(self.clock.now() + self.deployment.tick);
                return;
            }
        }
    }
}
