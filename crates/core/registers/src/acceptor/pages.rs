//! Replies that show an acceptor's state: one register, a page of changes, or a page of a copy.

use super::{Acceptor, StoredRegister};
use crate::{
    AcceptedEntry, ChangedRegister, Changes, EntryVersion, MAX_PAGE_BYTES, MAX_REGISTER_OVERHEAD_BYTES, Name,
    RegisterReply,
};

impl Acceptor {
    pub(super) fn read(&self, name: &Name, known: Option<EntryVersion>) -> RegisterReply {
        let accepted = self.registers.get(name).and_then(|register| register.accepted.as_ref());
        let Some(AcceptedEntry { ballot, entry }) = accepted else {
            return RegisterReply::NotFound { name: name.clone() };
        };
        let version = entry.version;
        let entry = (known != Some(version)).then(|| entry.clone());
        RegisterReply::Value { name: name.clone(), ballot: *ballot, version, entry }
    }

    /// The entries accepted since a revision, in the order of revisions, as many as fit one page.
    pub(super) fn changes_since(&self, incarnation: u64, since: u64) -> RegisterReply {
        let since = if incarnation == self.incarnation { since.min(self.revision) } else { 0 };
        let mut changed: Vec<(&Name, &StoredRegister)> =
            self.registers.iter().filter(|(_, register)| register.revision > since).collect();
        changed.sort_by_key(|(_, register)| register.revision);
        let mut registers = Vec::new();
        let mut page_bytes = 0;
        let mut revision = self.revision;
        let mut last_revision = since;
        for (name, register) in &changed {
            let Some(AcceptedEntry { ballot, entry }) = &register.accepted else { continue };
            page_bytes += register.bytes(name);
            if !registers.is_empty() && page_bytes > MAX_PAGE_BYTES {
                revision = last_revision;
                break;
            }
            last_revision = register.revision;
            registers.push(ChangedRegister { name: (*name).clone(), ballot: *ballot, entry: entry.clone() });
        }
        let more = revision < self.revision;
        let incarnation = self.incarnation;
        RegisterReply::Changes(Changes { incarnation, since, revision, registers, more })
    }

    /// The registers after a name, as many as fit one page; none if this acceptor has no memory itself.
    pub(super) fn copy_state(&self, round: u64, after: &Name) -> RegisterReply {
        let without_memory = self.recovery.is_some();
        let mut registers = Vec::new();
        let mut page_bytes = 0;
        let mut more = false;
        let later = self.registers.iter().filter(|(name, _)| *name > after && !without_memory);
        for (name, register) in later {
            page_bytes += register.bytes(name);
            if !registers.is_empty() && page_bytes > MAX_PAGE_BYTES {
                more = true;
                break;
            }
            registers.push(register.state(name));
        }
        let (incarnation, epoch) = (self.incarnation, self.epoch);
        RegisterReply::StateCopy { round, incarnation, without_memory, epoch, registers, more }
    }
}

impl StoredRegister {
    /// Maximum encoded size of a register in a page, in bytes.
    fn bytes(&self, name: &Name) -> usize {
        let value_bytes = self.accepted.as_ref().map_or(0, |accepted| accepted.entry.value.len());
        name.len() + value_bytes + MAX_REGISTER_OVERHEAD_BYTES
    }
}
