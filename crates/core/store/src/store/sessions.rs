//! Sessions of management clients, and the locks that they hold on datastores (RFC 6241, 7.5).

use super::Store;
use super::candidate::Candidate;
use crate::{Author, Datastore, Protocol, SessionId, StoreError};

/// A management client's session.
#[derive(Debug, Clone)]
pub struct Session {
    /// The authenticated user name.
    pub user: String,
    /// The protocol of the session.
    pub protocol: Protocol,
    /// True if the session edits a private candidate instead of the shared one.
    pub has_private_candidate: bool,
    /// The private candidate; `None` while it holds no change.
    pub(super) candidate: Option<Candidate>,
}

impl Store {
    /// Opens a session. Fails if the limit of open sessions is reached.
    pub fn open_session(&mut self, user: &str, protocol: Protocol) -> Result<SessionId, StoreError> {
        if self.sessions.len() >= self.bounds.sessions {
            return Err(StoreError::TooManySessions);
        }
        let id = self.next_session;
        self.next_session = self.next_session.checked_add(1).ok_or(StoreError::TooManySessions)?;
        let session =
            Session { user: user.to_owned(), protocol, has_private_candidate: false, candidate: None };
        self.sessions.insert(id, session);
        Ok(id)
    }

    /// Gives the session a private candidate, which it edits from now on.
    pub fn use_private_candidate(&mut self, session: SessionId) -> Result<(), StoreError> {
        let session = self.sessions.get_mut(&session).ok_or(StoreError::UnknownSession)?;
        session.has_private_candidate = true;
        Ok(())
    }

    /// Closes a session that has ended for any reason. Releases its locks; if it held the candidate's lock,
    /// the changes in the shared candidate are discarded. A pending commit that only this session could
    /// confirm becomes orphaned.
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

    /// Locks a datastore for a session. Fails if any session, this one included, holds the lock; for the
    /// shared candidate, if it holds changes; for running, if a confirmed commit of another session is
    /// pending.
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

    /// Releases a lock of this session. Releasing the candidate's lock discards the changes in the shared
    /// candidate.
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

    /// The author for commits of this session; fails if there is no such session.
    pub(super) fn author_of(&self, session: SessionId) -> Result<Author, StoreError> {
        let Session { user, protocol, .. } = self.sessions.get(&session).ok_or(StoreError::UnknownSession)?;
        Ok(Author { user: user.clone(), protocol: *protocol, session })
    }

    /// Fails if another session holds the lock of the datastore.
    pub(super) fn check_lock(&self, session: SessionId, datastore: Datastore) -> Result<(), StoreError> {
        match self.locks.get(&datastore) {
            Some(holder) if *holder != session => Err(StoreError::Locked(*holder)),
            _ => Ok(()),
        }
    }
}
