//! Framing, the XML parser's limits, operations, edits, filters and errors.

use lemonusher_model::{Fields, Node, Op, Schema, Tree, parse_path, to_json};
use lemonusher_netconf::*;
use lemonusher_store::{Datastore, ErrorOption};
use proptest::prelude::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

fn all_messages(framer: &mut Framer) -> Result<Vec<String>, FramingError> {
    let mut found = Vec::new();
    while let Some(message) = framer.next_message()? {
        found.push(String::from_utf8(message).unwrap());
    }
    Ok(found)
}

proptest! {
    #[test]
    fn messages_are_split_alike_from_any_chunks_of_bytes(
        texts in prop::collection::vec("[<a-z/>\\]#\n]{1,40}", 1..6),
        cut in 1..17usize,
        chunks in any::<bool>(),
    ) {
        let framing = if chunks { Framing::Chunked } else { Framing::EndOfMessage };
        prop_assume!(chunks || texts.iter().all(|text| !text.contains("]]>") && !text.ends_with(']')));
        let bytes: Vec<u8> = texts.iter().flat_map(|text| frame(framing, text)).collect();
        let mut framer = Framer::new(1000);
        framer.set_framing(framing);
        let mut found = Vec::new();
        for part in bytes.chunks(cut) {
            framer.push(part);
            found.extend(all_messages(&mut framer).unwrap());
        }
        prop_assert_eq!(found, texts);
        prop_assert_eq!(framer.buffered_bytes(), 0);
    }

    #[test]
    fn any_bytes_are_a_message_an_error_or_incomplete(noise in prop::collection::vec(any::<u8>(), 0..300)) {
        for framing in [Framing::EndOfMessage, Framing::Chunked] {
            let mut framer = Framer::new(100);
            framer.set_framing(framing);
            framer.push(&noise);
            let _ = all_messages(&mut framer);
        }
        let text = String::from_utf8_lossy(&noise);
        let _ = (parse(&text), read(&text));
    }

    #[test]
    fn escaped_text_is_read_back(text in "[ -~äß\n]{0,40}") {
        let found = parse(&format!("<a b=\"{0}\">{0}</a>", escape(&text))).unwrap();
        prop_assert_eq!(&found.text, &text);
    }
}

#[test]
fn invalid_frames_are_refused_at_once() {
    for wrong in ["x", "\nx", "\n#0\n", "\n#x", "\n#12x", "\n##\n", "\n#99999999999", "\n#+1\na"] {
        let mut framer = Framer::new(100);
        framer.set_framing(Framing::Chunked);
        framer.push(wrong.as_bytes());
        assert_eq!(framer.next_message(), Err(FramingError::BadChunk), "{wrong:?}");
    }
    let mut framer = Framer::new(100);
    framer.push(&[b'x'; 101]);
    assert_eq!(framer.next_message(), Err(FramingError::MessageTooLong));
    framer.set_framing(Framing::Chunked);
    let mut framer = Framer::new(100);
    framer.set_framing(Framing::Chunked);
    framer.push(b"\n#4294967295\n");
    assert_eq!(framer.next_message(), Err(FramingError::MessageTooLong));
}

#[test]
fn xml_out_of_bounds_is_refused() {
    let billion_laughs = "<!DOCTYPE a [<!ENTITY b \"lol\"><!ENTITY c \"&b;&b;\">]><a>&c;</a>";
    let deep = "<a>".repeat(100);
    let many = format!("<a{}/>", (0..100).map(|n| format!(" b{n}=''")).collect::<String>());
    for wrong in [
        billion_laughs,
        &deep,
        &many,
        "<a>&c;</a>",
        "<a>&#0;</a>",
        "<a></b>",
        "<a/><b/>",
        "x<a/>",
        "<p:a/>",
        "",
        "<a",
    ] {
        assert!(parse(wrong).is_err(), "{}", &wrong[..wrong.len().min(40)]);
    }
    let fine = parse("<?xml version=\"1.0\"?><!-- x --><a xmlns='u'>&lt;&#65;<![CDATA[<]]><b/></a>").unwrap();
    assert_eq!((fine.ns.as_str(), fine.text.as_str(), fine.children[0].ns.as_str()), ("u", "<A<", "u"));
}

fn rpc(operation: &str) -> Result<Operation, RpcError> {
    let text = format!("<rpc xmlns=\"{BASE}\" message-id=\"7\">{operation}</rpc>");
    read(&text).map(|rpc| rpc.operation).map_err(|(_, error)| error)
}

#[test]
fn operations_are_read_with_their_parameters() {
    let edit = "<edit-config><target><candidate/></target><default-operation>none</default-operation>
        <error-option>rollback-on-error</error-option><config/></edit-config>";
    let Ok(Operation::EditConfig { target, default, test, on_error, .. }) = rpc(edit) else { panic!() };
    assert_eq!(
        (target, default, on_error),
        (Datastore::Candidate, DefaultOperation::None, ErrorOption::Rollback)
    );
    assert_eq!(test, TestOption::TestThenSet);
    let commit = "<commit><confirmed/><confirm-timeout>5</confirm-timeout><persist>x</persist></commit>";
    let Ok(Operation::Commit(terms)) = rpc(commit) else { panic!() };
    assert_eq!((terms.confirm_timeout, terms.persist.as_deref()), (Some(Duration::from_secs(5)), Some("x")));
    assert_eq!(rpc("<kill-session><session-id>4</session-id></kill-session>"), Ok(Operation::KillSession(4)));
}

#[test]
fn invalid_operations_are_refused_with_their_tag() {
    for (operation, tag) in [
        ("<fly/>", "operation-not-supported"),
        ("<get xmlns='urn:x'/>", "unknown-namespace"),
        ("<get/><get/>", "bad-element"),
        ("", "bad-element"),
        ("<get-config/>", "missing-element"),
        ("<get-config><source/></get-config>", "missing-element"),
        ("<lock><target><url/></target></lock>", "operation-not-supported"),
        ("<get><filter type='xpath' select='/a'/></get>", "operation-not-supported"),
        ("<commit><confirmed/><confirm-timeout>0</confirm-timeout></commit>", "invalid-value"),
        ("<kill-session><session-id>x</session-id></kill-session>", "invalid-value"),
    ] {
        assert_eq!(rpc(operation).unwrap_err().tag.name(), tag, "{operation}");
    }
    let (_, error) = read(&format!("<rpc xmlns=\"{BASE}\"><get/></rpc>")).unwrap_err();
    assert_eq!(error.tag.name(), "missing-attribute");
    assert_eq!(read("<rpc message-id='1'><get/></rpc>").unwrap_err().1.tag.name(), "malformed-message");
    assert_eq!(read("noise").unwrap_err().1.tag.name(), "malformed-message");
}

#[test]
fn reply_repeats_the_attributes_of_the_request() {
    let text = format!("<rpc xmlns=\"{BASE}\" message-id=\"7\" xmlns:x=\"urn:x\" x:y=\"&lt;z\"><get/></rpc>");
    let rpc = read(&text).unwrap();
    let ok = parse(&reply(&rpc.attributes, &Ok(String::new()))).unwrap();
    assert_eq!((ok.attribute("", "message-id"), ok.attribute("urn:x", "y")), (Some("7"), Some("<z")));
    assert!(ok.child("ok").is_some());
}

// Edits, filters and data as XML.

fn config(text: &str) -> Element {
    parse(&format!(
        "<config xmlns:nc=\"{BASE}\"><front xmlns=\"urn:lemonusher:front\">{text}</front></config>"
    ))
    .unwrap()
}

fn apply_edits(
    schema: &Schema,
    tree: &mut Tree,
    text: &str,
    default: DefaultOperation,
) -> Result<(), String> {
    let edits = edits(schema, tree, &config(text), default).map_err(|fault| fault.to_string())?;
    for edit in edits {
        tree.apply(schema, edit.op, &edit.place, edit.value.as_ref()).map_err(|fault| fault.to_string())?;
    }
    Ok(())
}

fn json(schema: &Schema, tree: &Tree) -> serde_json::Value {
    let whole = to_json(schema, None, &Node::Container(tree.fields().clone()));
    whole.get("lemonusher-front:front").cloned().unwrap_or_default()
}

#[test]
fn edits_follow_their_operations() {
    let schema = Schema::front().unwrap();
    let mut tree = Tree::default();
    let pool = |name: &str, more: &str| format!("<pool><name>{name}</name>{more}</pool>");
    let merge = DefaultOperation::Merge;
    apply_edits(&schema, &mut tree, &pool("a", "<cell>1</cell><cell>2</cell>"), merge).unwrap();
    apply_edits(&schema, &mut tree, &pool("b", ""), merge).unwrap();
    assert_eq!(json(&schema, &tree), json!({"pool": [{"name": "a", "cell": [1, 2]}, {"name": "b"}]}));

    let create = "<pool nc:operation='create'><name>a</name></pool>";
    assert!(apply_edits(&schema, &mut tree, create, merge).unwrap_err().contains("exists"));
    let inner = pool("a", "<cell nc:operation='delete'>2</cell><cell nc:operation='remove'>9</cell>");
    apply_edits(&schema, &mut tree, &inner, DefaultOperation::None).unwrap();
    assert_eq!(json(&schema, &tree)["pool"][0], json!({"name": "a", "cell": [1]}));
    assert!(apply_edits(&schema, &mut tree, &pool("c", ""), DefaultOperation::None).is_err());
    let replace = "<pool nc:operation='replace'><name>a</name><admin-state>draining</admin-state></pool>";
    apply_edits(&schema, &mut tree, replace, merge).unwrap();
    assert_eq!(json(&schema, &tree)["pool"][0], json!({"name": "a", "admin-state": "draining"}));
    let gone = "<pool nc:operation='delete'><name>a</name></pool>";
    apply_edits(&schema, &mut tree, gone, merge).unwrap();
    assert!(apply_edits(&schema, &mut tree, gone, merge).is_err());
    apply_edits(&schema, &mut tree, "<log-level>warn</log-level>", DefaultOperation::Replace).unwrap();
    assert_eq!(json(&schema, &tree), json!({"log-level": "warn"}));
}

#[test]
fn configs_that_do_not_fit_the_model_are_refused_with_their_path() {
    let schema = Schema::front().unwrap();
    let tree = Tree::default();
    for (text, what) in [
        ("<pol/>", "/front/pol"),
        ("<pool/>", "key 'name'"),
        ("<log-level><x/></log-level>", "no elements"),
        ("<log-level>loud</log-level>", "loud"),
        ("<log-level nc:operation='fly'>warn</log-level>", "fly"),
        ("<pool xmlns='urn:x'/>", "namespace"),
        ("<pool><name>a</name><cell>x</cell></pool>", "uint32"),
    ] {
        let fault = edits(&schema, &tree, &config(text), DefaultOperation::Merge).unwrap_err().to_string();
        assert!(fault.contains(what), "{text}: {fault}");
    }
}

fn filled(schema: &Schema) -> Tree {
    let mut tree = Tree::default();
    let pools = "<log-level>warn</log-level>
        <pool><name>a</name><admin-state>draining</admin-state><cell>1</cell><cell>2</cell></pool>
        <pool><name>b</name><admin-state>disabled</admin-state><cell>2</cell></pool>";
    apply_edits(schema, &mut tree, pools, DefaultOperation::Merge).unwrap();
    tree
}

#[test]
fn filters_select_what_they_name() {
    let schema = Schema::front().unwrap();
    let tree = filled(&schema);
    let kept = |text: &str| {
        let kept: Fields = filter(&schema, tree.fields(), &config(text));
        json(&schema, &Tree::of(kept))
    };
    let (a, b) = (
        json!({"name": "a", "admin-state": "draining", "cell": [1, 2]}),
        json!({"name": "b", "admin-state": "disabled", "cell": [2]}),
    );
    assert_eq!(kept(""), json!({"log-level": "warn", "pool": [a, b]}));
    assert_eq!(kept("<log-level/>"), json!({"log-level": "warn"}));
    assert_eq!(kept("<pool><name>a</name></pool>"), json!({"pool": [a]}));
    assert_eq!(
        kept("<pool><name/><admin-state>disabled</admin-state></pool>"),
        json!({"pool": [{"name": "b", "admin-state": "disabled"}]})
    );
    assert_eq!(kept("<pool><cell>2</cell></pool>"), json!({"pool": [a, b]}));
    assert_eq!(
        kept("<pool><name>a</name></pool><pool><name>b</name><cell/></pool>")["pool"][1],
        json!({"name": "b", "cell": [2]})
    );
    assert_eq!(kept("<pool><name>c</name></pool>"), json!(null));
    assert_eq!(kept("<nothing/>"), json!(null));
    assert_eq!(kept("<log-level>info</log-level><pool/>"), json!(null));
    let none = parse("<filter/>").unwrap();
    assert!(filter(&schema, tree.fields(), &none).is_empty());
}

#[test]
fn data_written_as_xml_is_read_back() {
    let schema = Schema::front().unwrap();
    let tree = filled(&schema);
    let mut text = "<data>".to_owned();
    push_fields(&mut text, &schema, tree.fields(), true);
    text.push_str("</data>");
    assert_eq!(tree_of(&schema, &parse(&text).unwrap()).unwrap(), tree);
    // State can't be written, but is read from XML too.
    let place = schema.place(&parse_path("/front/state/name").unwrap()).unwrap();
    let mut with_state = Tree::default();
    assert!(with_state.apply(&schema, Op::Merge, &place, Some(&Node::Leaf("n".into()))).is_err());
    let state = "<data><front xmlns=\"urn:lemonusher:front\"><state><name>n</name></state></front></data>";
    let state = tree_of(&schema, &parse(state).unwrap()).unwrap();
    assert!(state.get(&place).is_some());
    let _ = Arc::strong_count(state.fields());
}

#[test]
fn errors_have_tag_path_and_app_tag() {
    let schema = Schema::front().unwrap();
    let mut tree = filled(&schema);
    apply_edits(&schema, &mut tree, "<pool><name>a</name><serves>x</serves></pool>", DefaultOperation::Merge)
        .unwrap();
    let fault = schema.validate(&tree).unwrap_err().remove(0);
    let error = RpcError::of_fault(&schema, &fault);
    let text = parse(&reply(&[], &Err(vec![error]))).unwrap();
    let error = text.child("rpc-error").unwrap();
    let value = |name: &str| error.child(name).map(|child| child.value().to_owned()).unwrap_or_default();
    assert_eq!(value("error-tag"), "data-missing");
    assert_eq!(value("error-app-tag"), "instance-required");
    assert_eq!(value("error-path"), "/lf:front/lf:pool[name=a]/lf:serves");
}
