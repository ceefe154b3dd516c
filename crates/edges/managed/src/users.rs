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
mod tests {
    use super::*;

    #[test]
    fn users_come_in_by_what_is_theirs_alone() {
        let user = |name: &str, password: Option<&str>, key: Option<&str>| User {
            name: name.to_owned(),
            may_write: name == "a",
            password: password.map(str::to_owned),
            ssh_key: key.map(str::to_owned),
        };
        let users = Users(vec![user("a", Some("x"), Some("ssh-ed25519 AAA a@b")), user("b", None, None)]);
        assert!(users.by_password(Some("a"), Some("x")).is_some_and(|grant| grant.may_write));
        for (name, password) in
            [(Some("a"), Some("y")), (Some("a"), None), (Some("b"), Some("")), (None, Some("x"))]
        {
            assert!(users.by_password(name, password).is_none());
        }
        assert!(users.by_key("a", "ssh-ed25519 AAA").is_some());
        assert!(users.by_key("a", "ssh-ed25519 AAB").is_none() && users.by_key("b", "").is_none());
        assert!(Users::default().by_password(None, None).is_some());
    }
}
