//! Authentication by password and by public key.

use super::*;

#[test]
fn users_authenticate_by_their_own_credentials_only() {
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
