use super::*;

#[test]
fn reads_values() {
    let text = br#" {"a":[1,-2.5e1,true,null],"b":"x\"\u00e9\ud83d\ude00\n","a2":{}} "#;
    let value = parse(text).unwrap();
    let numbers = vec![Value::Number(1.0), Value::Number(-25.0), Value::Bool(true), Value::Null];
    assert_eq!(value.get("a"), Some(&Value::List(numbers)));
    assert_eq!(value.get("b").and_then(Value::text), Some("x\"é😀\n"));
    assert_eq!(parse(quoted("x\"é😀\n\\").as_bytes()), Ok(Value::Text("x\"é😀\n\\".into())));
}

#[test]
fn rejects_what_is_not_json() {
    let deep = "[".repeat(MAX_DEPTH + 1) + &"]".repeat(MAX_DEPTH + 1);
    for text in [
        "",
        "{",
        "[1,]",
        "{\"a\"}",
        "{\"a\":1,}",
        "01",
        "1.",
        "+1",
        "nul",
        "\"a",
        "\"\\x\"",
        "1 2",
        "--1",
        "\"\\ud800\"",
        "\"\\u12é4\"",
        "\"a\nb\"",
        deep.as_str(),
    ] {
        assert!(parse(text.as_bytes()).is_err(), "{text}");
    }
    assert!(parse(b"\"\xff\"").is_err());
}
