//! Sessions of managers and the locks that they hold on datastores (RFC 6241, 7.5).

use super::Store;
use super::candidate::Candidate;
use crate::{Author, Datastore, Protocol, SessionId, StoreError};

#[derive(Debug, Clone)]
pub struct Session {
    pub user: String,
    pub protocol: Protocol,
    /// It edits a candidate of its own.
    pub private: bool,
    pub(super) candidate: Option<Candidate>,
}

impl Store {
    pub fn open_session(&mut self, user: &str, protocol: Protocol) -> Result<SessionId, StoreError> {
        if self.sessions.len() >= self.bounds.sessions {
            return Err(StoreError::TooManySessions);
        }
        let id = self.next_session;
        self.next_session = self.next_session.checked_add(1).ok_or(StoreError::TooManySessions)?;
        let session = Session { user: user.to_owned(), protocol, private: false, candidate: None };
        self.sessions.insert(id, session);
        Ok(id)
    }

    /// The session edits a candidate of its own from now on.
    pub fn use_private_candidate(&mut self, session: SessionId) -> Result<(), StoreError> {
        let held = self.sessions.get_mut(&session).ok_or(StoreError::UnknownSession)?;
        held.private = true;
        Ok(())
    }

    /// A session has ended, however it did: its locks go, and with the lock of the candidate what was changed
    /// there; what it alone could have confirmed falls due.
    pub fn close_session(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        if self.locks.get(&Datastore::Candidate) == Some(&session) {
            self.shared_candidate = None;
        }
        self.locks.retain(|_, holder| *holder != session);
        if let Some(pending) = &mut self.pending
            && pending.session == session
            && pending.persist.is_none()
        {
            pending.orphaned = true;
        }
    }

    pub fn lock(&mut self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        self.author_of(session)?;
        if let Some(holder) = self.locks.get(&datastore) {
            return Err(StoreError::Locked(*holder));
        }
        match (datastore, &self.pending) {
            (Datastore::Candidate, _) if self.shared_candidate.is_some() => return Err(StoreError::Modified),
            (Datastore::Running, Some(pending)) if pending.session != session => {
                return Err(StoreError::Pending(pending.session));
            }
            _ => {}
        }
        self.locks.insert(datastore, session);
        Ok(())
    }

    pub fn unlock(&mut self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        match self.locks.get(&datastore) {
            Some(holder) if *holder == session => {
                self.locks.remove(&datastore);
                if datastore == Datastore::Candidate {
                    self.shared_candidate = None;
                }
                Ok(())
            }
            Some(holder) => Err(StoreError::Locked(*holder)),
            None => Err(StoreError::NotLocked),
        }
    }

    pub(super) fn author_of(&self, session: SessionId) -> Result<Author, StoreError> {
        let held = self.sessions.get(&session).ok_or(StoreError::UnknownSession)?;
        Ok(Author { user: held.user.clone(), protocol: held.protocol, session })
    }

    pub(super) fn check_lock(&self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        match self.locks.get(&datastore) {
            Some(holder) if *holder != session => Err(StoreError::Locked(*holder)),
            _ => Ok(()),
        }
    }
}
