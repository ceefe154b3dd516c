//! Error messages for invalid operator's files, and resolution of relative paths.

use super::*;

fn errors(text: &str) -> Vec<(Option<usize>, String)> {
    let found = parse(Path::new("x.toml"), text).unwrap_err();
    found.into_iter().map(|error| (error.line, error.message)).collect()
}

#[test]
fn errors_name_their_line_and_what_would_be_right() {
    let cases = [
        ("[log]\nlevle = 'info'\n", 2, "expected `level`"),
        ("[log]\n\nlevel = 'loud'\n", 3, "`error`"),
        ("[managed]\nhistory = 0\n[managed.gnmi]\nlisten = '127.0.0.1:1'\n", 2, "from 1 to 10000"),
        ("[managed.gnmi]\nlisten = '10.0.0.1:9339'\n", 2, "loopback"),
        ("[managed.gnmi]\nlisten = '127.0.0.1:1'\nkey = 'k'\n", 3, "name both"),
        ("[managed.netconf]\nlisten = 'here'\n", 2, "socket address"),
        ("[managed.netconf]\nlisten = '10.0.0.1:830'\n", 2, "ssh_key"),
        (
            "[managed.gnmi]\nlisten='127.0.0.1:1'\n[[managed.users]]\nname='a'\n[[managed.users]]\nname='a'\n",
            6,
            "twice",
        ),
        ("[fleet]\nlisten='127.0.0.1:1'\nkey_file='k'\nvoters=['127.0.0.1:1']\n", 4, "3, 5 or 7"),
        ("[managed\n", 1, ""),
    ];
    for (text, line, right) in cases {
        let found = errors(text);
        assert!(
            found.iter().any(|(at, message)| *at == Some(line) && message.contains(right)),
            "{text}: {found:?}"
        );
    }
}

#[test]
fn paths_start_from_the_files_folder_and_an_empty_file_is_valid() {
    let file = parse(Path::new("/a/b.toml"), "[front]\ntold = 'c.json'\n").unwrap();
    assert_eq!(file.front.start_file.unwrap().into_inner(), Path::new("/a/c.json"));
    assert!(parse(Path::new("x"), "").unwrap().managed.is_none());
}
