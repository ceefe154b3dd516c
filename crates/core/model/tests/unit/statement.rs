//! The parser of YANG statements.

use super::*;

#[test]
fn strings_are_joined_and_comments_skipped() {
    let text = "module /* a\n */ m { // b\n description \"x\" + 'y\\' ;\n leaf a; }";
    let module = Statement::parse(text).unwrap();
    assert_eq!(module.substatement_arg("description"), Ok(Some("xy\\")));
    assert_eq!((module.substatements[1].line, module.substatements[1].keyword.as_str()), (4, "leaf"));
}

#[test]
fn syntax_errors_are_reported_by_line() {
    for (text, line) in [
        ("module m {\n leaf a", 2),
        ("module m {\n\n leaf \"a", 3),
        ("module m;\nmore;", 2),
        ("module m { /* ", 1),
        ("module m { a \"\\x\"; }", 1),
        ("", 1),
    ] {
        assert_eq!(Statement::parse(text).unwrap_err().line, line, "{text}");
    }
    let deep = "a {".repeat(1000);
    assert!(Statement::parse(&deep).unwrap_err().message.contains("deeply"));
}
