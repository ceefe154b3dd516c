//! Section `[managed]`, with the management servers and their users.

use super::{Checker, resolve_optional};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Longest name of a user, in bytes.
const MAX_USER_NAME_BYTES: usize = 64;

/// `[managed]`: the management protocols (gNMI and NETCONF) and the store of committed configuration.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Managed")]
pub struct ManagementSection {
    /// Folder in which commits are stored; if absent, they are lost when the process ends.
    #[serde(rename = "folder")]
    pub state_folder: Option<Spanned<PathBuf>>,
    /// Number of commits that can be rolled back to.
    #[serde(rename = "history", default = "ManagementSection::default_max_commits")]
    pub max_commits: Spanned<usize>,
    /// Maximum number of sessions, over both protocols.
    #[serde(rename = "sessions", default = "ManagementSection::default_max_sessions")]
    pub max_sessions: Spanned<usize>,
    /// Maximum number of subscriptions, for each protocol.
    #[serde(rename = "subscriptions", default = "ManagementSection::default_max_subscriptions")]
    pub max_subscriptions: Spanned<usize>,
    /// Maximum age of the counters that management clients read, in milliseconds.
    #[serde(rename = "freshness_ms", default = "ManagementSection::default_max_counter_age_ms")]
    pub max_counter_age_ms: Spanned<u64>,
    /// Whether the startup datastore, if there is one, is put in force at the start.
    #[serde(rename = "from_startup", default)]
    pub starts_from_startup: bool,
    /// The gNMI server; off if absent.
    pub gnmi: Option<GnmiSection>,
    /// The NETCONF server; off if absent.
    pub netconf: Option<NetconfSection>,
    /// Users. If there are none, any client that reaches a loopback address may read and write.
    #[serde(default)]
    pub users: Vec<UserSection>,
}

impl ManagementSection {
    pub(super) fn resolve_paths(&mut self, folder: &Path) {
        resolve_optional(&mut self.state_folder, folder);
        if let Some(gnmi) = &mut self.gnmi {
            resolve_optional(&mut gnmi.certificate, folder);
            resolve_optional(&mut gnmi.key, folder);
        }
        if let Some(netconf) = &mut self.netconf {
            resolve_optional(&mut netconf.host_key, folder);
        }
        for user in &mut self.users {
            resolve_optional(&mut user.password_file, folder);
        }
    }

    pub(super) fn check(&self, checker: &mut Checker) {
        let limits = [
            (&self.max_commits, "history", 1..=10_000),
            (&self.max_sessions, "sessions", 1..=1024),
            (&self.max_subscriptions, "subscriptions", 1..=4096),
        ];
        for (value, name, allowed) in limits {
            if !allowed.contains(value.get_ref()) {
                let (min, max) = (allowed.start(), allowed.end());
                let message = format!("'{name}' is {}; it must be from {min} to {max}", value.get_ref());
                checker.report(value.span(), message);
            }
        }
        let age = self.max_counter_age_ms.get_ref();
        if !(1..=10_000).contains(age) {
            let message = format!("'freshness_ms' is {age}; it must be from 1 to 10000");
            checker.report(self.max_counter_age_ms.span(), message);
        }
        if let Some(gnmi) = &self.gnmi {
            gnmi.check(&self.users, checker);
        }
        if let Some(netconf) = &self.netconf {
            netconf.check(&self.users, checker);
        }
        self.check_users(checker);
        if self.gnmi.is_none() && self.netconf.is_none() {
            let message = "[managed] enables no server; add [managed.gnmi] or [managed.netconf]";
            checker.report(self.max_commits.span(), message);
        }
    }

    fn check_users(&self, checker: &mut Checker) {
        let mut names = BTreeSet::new();
        for user in &self.users {
            let name = user.name.get_ref();
            if name.is_empty() || name.len() > MAX_USER_NAME_BYTES {
                checker.report(user.name.span(), "a user's 'name' must have 1 to 64 bytes");
            }
            if !names.insert(name) {
                checker.report(
                    user.name.span(),
                    format!("user '{name}' is defined twice; each user must have one entry"),
                );
            }
        }
    }

    fn default_max_commits() -> Spanned<usize> {
        Spanned::new(0..0, 100)
    }

    fn default_max_sessions() -> Spanned<usize> {
        Spanned::new(0..0, 64)
    }

    fn default_max_subscriptions() -> Spanned<usize> {
        Spanned::new(0..0, 256)
    }

    fn default_max_counter_age_ms() -> Spanned<u64> {
        Spanned::new(0..0, 50)
    }

    /// Maximum age of the counters that management clients read.
    pub fn max_counter_age(&self) -> Duration {
        Duration::from_millis(*self.max_counter_age_ms.get_ref())
    }
}

/// `[managed.gnmi]`: the gNMI server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Gnmi")]
pub struct GnmiSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// File with the certificate, in PEM format. The server uses TLS if certificate and key are set.
    pub certificate: Option<Spanned<PathBuf>>,
    /// File with the certificate's private key, in PEM format.
    pub key: Option<Spanned<PathBuf>>,
}

/// `[managed.netconf]`: the NETCONF server.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Netconf")]
pub struct NetconfSection {
    /// Address to listen at.
    pub listen: Spanned<SocketAddr>,
    /// File with the private host key, in OpenSSH format; if absent, a new key is generated at each start.
    pub host_key: Option<Spanned<PathBuf>>,
}

/// `[[managed.users]]`: a user of the management protocols.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct User")]
pub struct UserSection {
    /// Login name.
    pub name: Spanned<String>,
    /// Access that the user has.
    #[serde(rename = "may", default)]
    pub access: Access,
    /// Public key for NETCONF, in OpenSSH's one-line format.
    pub ssh_key: Option<Spanned<String>>,
    /// File with the password for gNMI, and for NETCONF if no user has an `ssh_key`.
    pub password_file: Option<Spanned<PathBuf>>,
}

/// Access of a user.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum May")]
pub enum Access {
    /// Read only; the default.
    #[default]
    Read,
    /// Read and write.
    Write,
}

impl fmt::Display for Access {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Access::Read => "read",
            Access::Write => "read and write",
        })
    }
}

impl GnmiSection {
    fn check(&self, users: &[UserSection], checker: &mut Checker) {
        let has_tls = self.certificate.is_some() && self.key.is_some();
        let is_loopback = self.listen.get_ref().ip().is_loopback();
        if let (Some(unpaired), None) | (None, Some(unpaired)) = (&self.certificate, &self.key) {
            checker.report(
                unpaired.span(),
                "'certificate' and 'key' must be set together; name both or neither",
            );
        }
        if !has_tls && !is_loopback {
            let message =
                "without 'certificate' and 'key', 'listen' must be a loopback address such as 127.0.0.1:9339";
            checker.report(self.listen.span(), message);
        }
        if users.iter().all(|user| user.password_file.is_none()) && !is_loopback {
            let message =
                "unless 'listen' is a loopback address, at least one of 'users' needs a 'password_file'";
            checker.report(self.listen.span(), message);
        }
    }
}

impl NetconfSection {
    fn check(&self, users: &[UserSection], checker: &mut Checker) {
        if users.iter().all(|user| user.ssh_key.is_none()) && !self.listen.get_ref().ip().is_loopback() {
            let message =
                "without a user's 'ssh_key', 'listen' must be a loopback address such as 127.0.0.1:8300";
            checker.report(self.listen.span(), message);
        }
    }
}
