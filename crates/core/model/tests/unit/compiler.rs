//! The compiler: the front's own model compiles, and invalid modules are rejected.

use super::*;

fn compile_error(body: &str) -> ModelError {
    let text = format!("module m {{\nyang-version 1.1;\nnamespace 'urn:m';\nprefix m;\n{body}\n}}");
    Schema::compile(&text).expect_err(body)
}

#[test]
fn front_model_compiles() {
    let schema = Schema::front().unwrap();
    assert_eq!(schema.module, "lemonusher-front");
    assert!(schema.notification("engine-changed").is_some());
}

#[test]
fn unknown_statements_are_reported_by_line() {
    for (body, line, message) in [
        ("rpc x;", 5, "'rpc'"),
        ("container a {\n anydata b;\n}", 6, "'anydata'"),
        ("leaf a { type flags; }", 5, "'flags'"),
        ("leaf a {\n type string {\n  pattern '[';\n } }", 7, "pattern"),
        ("leaf a { type uint8 { range \"1..300\"; } }", 5, "outside"),
        ("leaf a { type uint8; default 300; }", 5, "default"),
        ("list l { leaf a { type string; } }", 5, "key"),
        ("list l { key b; leaf a { type string; } }", 5, "'b'"),
        ("leaf a { type leafref { path '/m:b'; } }", 5, "nowhere"),
        ("leaf a { type string; } leaf a { type string; }", 5, "twice"),
        ("container c { config false; leaf a { config true; type string; } }", 5, "config"),
        ("leaf a { type string; must 'a =='; }", 5, "must"),
        ("uses g;", 5, "grouping"),
        ("grouping g { uses g; } uses g;", 5, "deeply"),
        ("typedef t { type t; } leaf a { type t; }", 5, "deeply"),
        ("leaf a { type string; when 'b'; }", 5, "'when'"),
    ] {
        let found = compile_error(body);
        assert!(found.line == line && found.message.contains(message), "{body}: {found}");
    }
}
