//! Who may read and who may write.

use subtle::ConstantTimeEq;

/// One user of the operator's file.
#[derive(Debug, Clone, Default)]
pub struct User {
    pub name: String,
    pub may_write: bool,
    /// A public key in OpenSSH's form.
    pub ssh_key: Option<String>,
    pub password: Option<String>,
}

/// What somebody who has come in may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    pub user: String,
    pub may_write: bool,
}

#[derive(Debug, Clone, Default)]
pub struct Users(pub Vec<User>);

impl Users {
    /// By name and password. With no user at all, anybody who reaches the door may do both.
    pub fn by_password(&self, name: Option<&str>, password: Option<&str>) -> Option<Grant> {
        if self.0.is_empty() {
            return Some(Grant { user: name.unwrap_or("anyone").to_owned(), may_write: true });
        }
        let user = self.0.iter().find(|user| Some(user.name.as_str()) == name)?;
        let held = user.password.as_deref()?;
        let same = bool::from(held.as_bytes().ct_eq(password?.as_bytes()));
        same.then(|| Grant { user: user.name.clone(), may_write: user.may_write })
    }

    /// Whether keys are asked for at all.
    pub fn uses_keys(&self) -> bool {
        self.0.iter().any(|user| user.ssh_key.is_some())
    }

    /// By name and public key, the key's type and data as OpenSSH writes them.
    pub fn by_key(&self, name: &str, key: &str) -> Option<Grant> {
        let body = |key: &str| key.split_whitespace().take(2).map(str::to_owned).collect::<Vec<_>>();
        let user = self.0.iter().find(|user| user.name == name)?;
        let same = user.ssh_key.as_deref().is_some_and(|held| body(held) == body(key));
        same.then(|| Grant { user: user.name.clone(), may_write: user.may_write })
    }
}

#[cfg(test)]
#[path = "../tests/unit/users.rs"]
mod tests;
