//! Configuration of the management servers.

use crate::error::{CommandError, read_bytes};
use crate::file::{Access, GnmiSection, ManagementSection, NetconfSection, UserSection};
use lemonusher_managed::{GnmiConfig, ManagementConfig, NetconfConfig, Tls, User, Users};
use std::path::Path;

/// Converts the section; reads the certificate, the keys and the passwords from the files that it names.
pub fn management_config(section: &ManagementSection) -> Result<ManagementConfig, CommandError> {
    let users = section.users.iter().map(user).collect::<Result<Vec<User>, CommandError>>()?;
    Ok(ManagementConfig {
        folder: section.state_folder.as_ref().map(|folder| folder.get_ref().clone()),
        history: *section.max_commits.get_ref(),
        sessions: *section.max_sessions.get_ref(),
        subscriptions: *section.max_subscriptions.get_ref(),
        freshness: section.max_counter_age(),
        from_startup: section.starts_from_startup,
        gnmi: section.gnmi.as_ref().map(gnmi).transpose()?,
        netconf: section.netconf.as_ref().map(netconf).transpose()?,
        users: Users(users),
    })
}

fn user(section: &UserSection) -> Result<User, CommandError> {
    let password = section.password_file.as_ref().map(|path| read_text(path.get_ref())).transpose()?;
    Ok(User {
        name: section.name.get_ref().clone(),
        may_write: section.access == Access::Write,
        ssh_key: section.ssh_key.as_ref().map(|key| key.get_ref().clone()),
        password: password.map(|password| password.trim_end().to_owned()),
    })
}

fn gnmi(section: &GnmiSection) -> Result<GnmiConfig, CommandError> {
    let tls = match (&section.certificate, &section.key) {
        (Some(certificate), Some(key)) => {
            Some(Tls { certificate: read_bytes(certificate.get_ref())?, key: read_bytes(key.get_ref())? })
        }
        _ => None,
    };
    Ok(GnmiConfig { listen: *section.listen.get_ref(), tls })
}

fn netconf(section: &NetconfSection) -> Result<NetconfConfig, CommandError> {
    let host_key = section.host_key.as_ref().map(|path| read_text(path.get_ref())).transpose()?;
    Ok(NetconfConfig { listen: *section.listen.get_ref(), host_key })
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    Ok(String::from_utf8_lossy(&read_bytes(path)?).into_owned())
}
