//! The users of the management plane: authentication, and the right to write.

use subtle::ConstantTimeEq;

/// One user of the operator's configuration file.
#[derive(Debug, Clone, Default)]
pub struct User {
    /// The user name that a management client authenticates with.
    pub name: String,
    /// Whether it may write; reading is always allowed.
    pub may_write: bool,
    /// A public key in OpenSSH format, for NETCONF.
    pub ssh_key: Option<String>,
    /// The password, in plain text. For NETCONF it is accepted only if no user has a key.
    pub password: Option<String>,
}

/// The rights of an authenticated management client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The user's name.
    pub user: String,
    /// Whether it may write; reading is always allowed.
    pub may_write: bool,
}

/// All users.
#[derive(Debug, Clone, Default)]
pub struct Users(pub Vec<User>);

impl Users {
    /// Authenticates by name and password. If no users are configured, everybody may read and write.
    pub fn by_password(&self, name: Option<&str>, password: Option<&str>) -> Option<Grant> {
        if self.0.is_empty() {
            return Some(Grant { user: name.unwrap_or("anyone").to_owned(), may_write: true });
        }
        let user = self.0.iter().find(|user| Some(user.name.as_str()) == name)?;
        let expected = user.password.as_deref()?;
        let same = bool::from(expected.as_bytes().ct_eq(password?.as_bytes()));
        same.then(|| Grant { user: user.name.clone(), may_write: user.may_write })
    }

    /// Whether any user has a key. If so, SSH accepts keys only and no passwords.
    pub fn uses_keys(&self) -> bool {
        self.0.iter().any(|user| user.ssh_key.is_some())
    }

    /// Authenticates by name and public key. `key` is in OpenSSH format; its type and data are compared, and its
    /// comment is ignored.
    pub fn by_key(&self, name: &str, key: &str) -> Option<Grant> {
        let body = |key: &str| key.split_whitespace().take(2).map(str::to_owned).collect::<Vec<_>>();
        let user = self.0.iter().find(|user| user.name == name)?;
        let same = user.ssh_key.as_deref().is_some_and(|expected| body(expected) == body(key));
        same.then(|| Grant { user: user.name.clone(), may_write: user.may_write })
    }
}

#[cfg(test)]
#[path = "../tests/unit/users.rs"]
mod tests;
