//! Compares data trees with a reference model, a plain map of leaves, under random edits; also paths, JSON
//! and validation.

use lemonusher_model::*;
use proptest::prelude::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;

fn schema() -> Schema {
    Schema::front().unwrap()
}

fn place(schema: &Schema, text: &str) -> Place {
    schema.place(&parse_path(text).unwrap()).unwrap()
}

fn set_leaf(schema: &Schema, tree: &mut Tree, path: &str, value: &str) {
    let place = place(schema, path);
    tree.apply(schema, Op::Merge, &place, Some(&Node::Leaf(value.into()))).unwrap();
}

/// All leaves of a tree by their paths as text.
fn leaves(schema: &Schema, tree: &Tree) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    tree.for_each_leaf(|place, value| drop(found.insert(schema.text(place), value.to_string())));
    found
}

#[derive(Debug, Clone)]
struct Edit {
    op: Op,
    target: u8,
    pool: u8,
    value: u8,
}

fn edit_strategy() -> impl Strategy<Value = Edit> {
    let op = prop::sample::select(vec![Op::Merge, Op::Replace, Op::Create, Op::Delete, Op::Remove]);
    (op, 0..5u8, 0..3u8, 0..3u8).prop_map(|(op, target, pool, value)| Edit { op, target, pool, value })
}

/// Applies an edit to the reference model. Returns whether the edit is accepted; a refused one changes nothing.
fn apply_to_reference(map: &mut BTreeMap<String, String>, edit: &Edit) -> bool {
    let pool = format!("/front/pool[name=p{}]", edit.pool);
    let state = ["enabled", "draining", "disabled"][edit.value as usize].to_owned();
    let (at, members): (String, Vec<(String, String)>) = match edit.target {
        0 => (format!("{pool}/admin-state"), vec![(format!("{pool}/admin-state"), state)]),
        1 => {
            let at = format!("{pool}/cell[.={}]", edit.value);
            (at.clone(), vec![(at, edit.value.to_string())])
        }
        2 => (
            pool.clone(),
            vec![(format!("{pool}/admin-state"), state), (format!("{pool}/cell[.=7]"), "7".to_owned())],
        ),
        3 => ("/front/pool".to_owned(), vec![(format!("{pool}/admin-state"), state)]),
        _ => ("/front/log-level".to_owned(), vec![("/front/log-level".to_owned(), "warn".to_owned())]),
    };
    let is_at_or_below = |path: &String| {
        path == &at || path.strip_prefix(&at).is_some_and(|rest| rest.starts_with(['/', '[']))
    };
    let there = map.keys().any(is_at_or_below);
    match edit.op {
        Op::Create if there => return false,
        Op::Delete if !there => return false,
        _ => {}
    }
    if edit.op != Op::Merge && edit.op != Op::Create {
        map.retain(|path, _| !is_at_or_below(path));
    }
    if matches!(edit.op, Op::Merge | Op::Replace | Op::Create) {
        if edit.target < 4 {
            map.insert(format!("{pool}/name"), format!("p{}", edit.pool));
        }
        map.extend(members);
    }
    true
}

fn apply_edit(schema: &Schema, tree: &mut Tree, edit: &Edit) -> bool {
    let state = ["enabled", "draining", "disabled"][edit.value as usize];
    let pool = format!("/front/pool[name=p{}]", edit.pool);
    let (path, value) = match edit.target {
        0 => (format!("{pool}/admin-state"), json!(state)),
        1 => (format!("{pool}/cell[.={}]", edit.value), json!(edit.value)),
        2 => (pool, json!({"name": format!("p{}", edit.pool), "admin-state": state, "cell": [7]})),
        3 => ("/front/pool".into(), json!([{"name": format!("p{}", edit.pool), "admin-state": state}])),
        _ => ("/front/log-level".into(), json!("warn")),
    };
    let place = place(schema, &path);
    let last = place.last().unwrap();
    let node = from_json(schema, Some(last.node), last.keys.is_some(), &value).unwrap();
    tree.apply(schema, edit.op, &place, Some(&node)).is_ok()
}

proptest! {
    #[test]
    fn any_edits_agree_with_a_map_of_leaves(edits in prop::collection::vec(edit_strategy(), 1..40)) {
        let schema = schema();
        let (mut tree, mut map) = (Tree::default(), BTreeMap::new());
        for edit in &edits {
            let before = tree.clone();
            let done = apply_edit(&schema, &mut tree, edit);
            prop_assert_eq!(done, apply_to_reference(&mut map, edit), "{:?}", edit);
            prop_assert_eq!(&leaves(&schema, &tree), &map, "{:?}", edit);
            prop_assert!(done || tree == before);
            // The differences applied to the old tree give the new one, and the inverse ones give the old
            // tree again.
            let changes = diff(&before, &tree);
            let mut there = before.clone();
            there.apply_changes(&schema, &changes).unwrap();
            prop_assert_eq!(&there, &tree);
            there.apply_changes(&schema, &revert(&changes)).unwrap();
            prop_assert_eq!(&there, &before);
            prop_assert!(diff(&tree, &tree.clone()).is_empty());
        }
        // Encoding as JSON and decoding give the same tree.
        let whole = Node::Container(tree.fields().clone());
        let json = to_json(&schema, None, &whole);
        prop_assert_eq!(from_json(&schema, None, false, &json).unwrap(), whole);
        // Each leaf is found at its path.
        for (path, value) in &map {
            let place = place(&schema, path);
            prop_assert!(matches!(tree.get(&place), Some(NodeRef::Leaf(held)) if &**held == value.as_str()));
        }
    }

    #[test]
    fn any_text_is_read_as_a_path_or_refused(text in "\\PC{0,40}") {
        if let Ok(steps) = parse_path(&text) {
            let schema = schema();
            let _ = (schema.place(&steps), schema.patterns(&steps));
        }
    }

    #[test]
    fn any_key_value_is_written_and_read_back(value in "[ -~]{0,12}") {
        let schema = schema();
        let place = vec![
            Segment { node: schema.child(None, "front").unwrap(), keys: None },
            Segment { node: schema.child(schema.child(None, "front"), "pool").unwrap(), keys: Some(vec![value.as_str().into()]) },
        ];
        let steps = parse_path(&schema.text(&place)).unwrap();
        prop_assert_eq!(&steps[1].keys, &vec![("name".to_owned(), value)]);
    }
}

#[test]
fn faults_are_reported_with_their_place() {
    let schema = schema();
    type Case<'a> = (&'a [(&'a str, &'a str)], FaultKind, &'a str, &'a str);
    let cases: [Case; 4] = [
        (
            &[("/front/pool[name=a]/serves[.=report]", "report")],
            FaultKind::MissingInstance,
            "/front/pool[name=a]/serves",
            "instance-required",
        ),
        (
            &[
                ("/front/service-group[name=report]/come-back", "900"),
                ("/front/service-group[name=report]/longest-come-back", "100"),
            ],
            FaultKind::MustViolation,
            "/front/service-group[name=report]/longest-come-back",
            "come-back-order",
        ),
        (
            // Constraints use the default of a leaf that is not set.
            &[("/front/service-group[name=report]/longest-come-back", "100")],
            FaultKind::MustViolation,
            "/front/service-group[name=report]/longest-come-back",
            "come-back-order",
        ),
        (
            &[("/front/pool[name=a]/drained-for", "a new disk")],
            FaultKind::MustViolation,
            "/front/pool[name=a]",
            "enabled-with-reason",
        ),
    ];
    for (leaves, kind, path, tag) in cases {
        let mut tree = Tree::default();
        leaves.iter().for_each(|(path, value)| set_leaf(&schema, &mut tree, path, value));
        let found = schema.validate(&tree).unwrap_err();
        assert_eq!(found.len(), 1, "{found:?}");
        assert_eq!((found[0].kind, found[0].path.as_deref()), (kind, Some(path)));
        assert_eq!(found[0].tag.as_deref(), Some(tag));
    }
    let mut tree = Tree::default();
    set_leaf(&schema, &mut tree, "/front/service-group[name=report]/most-open", "5");
    set_leaf(&schema, &mut tree, "/front/pool[name=a]/serves[.=report]", "report");
    set_leaf(&schema, &mut tree, "/front/pool[name=a]/admin-state", "draining");
    set_leaf(&schema, &mut tree, "/front/pool[name=a]/drained-for", "a new disk");
    assert_eq!(schema.validate(&tree), Ok(()));
}

#[test]
fn element_counts_and_mandatory_nodes_are_checked_everywhere() {
    let text = "module m { yang-version 1.1; namespace 'urn:m'; prefix m;
        container c { container d { leaf must-be { type string; mandatory true; }
            leaf-list some { type string; min-elements 1; max-elements 2; } }
            list l { key k; max-elements 1; leaf k { type string; } leaf v { type uint8; mandatory true; } } } }";
    let schema = Schema::compile(text).unwrap();
    let kinds = |tree: &Tree| -> Vec<FaultKind> {
        schema.validate(tree).err().unwrap_or_default().iter().map(|fault| fault.kind).collect()
    };
    let mut tree = Tree::default();
    assert_eq!(kinds(&tree), [FaultKind::MissingElement, FaultKind::TooFew]);
    set_leaf(&schema, &mut tree, "/c/d/must-be", "x");
    for value in ["a", "b"] {
        set_leaf(&schema, &mut tree, &format!("/c/d/some[.={value}]"), value);
    }
    assert!(kinds(&tree).is_empty());
    set_leaf(&schema, &mut tree, "/c/d/some[.=e]", "e");
    let entry = Node::Container(Arc::default());
    tree.apply(&schema, Op::Merge, &place(&schema, "/c/l[k=1]"), Some(&entry)).unwrap();
    tree.apply(&schema, Op::Merge, &place(&schema, "/c/l[k=2]"), Some(&entry)).unwrap();
    let found = kinds(&tree);
    assert_eq!(
        found,
        [FaultKind::TooMany, FaultKind::TooMany, FaultKind::MissingElement, FaultKind::MissingElement]
    );
}

#[test]
fn unknown_path_names_the_nodes_that_are_known() {
    let schema = schema();
    let fault = |path: &str| schema.place(&parse_path(path).unwrap()).unwrap_err();
    let unknown = fault("/front/pol");
    assert!(unknown.kind == FaultKind::UnknownElement && unknown.message.contains("pool"), "{unknown}");
    assert_eq!(fault("/other:front").kind, FaultKind::UnknownNamespace);
    assert_eq!(fault("/front/pool/admin-state").kind, FaultKind::MissingElement);
    assert_eq!(fault("/front/pool[name=a b]").kind, FaultKind::InvalidValue);
    assert_eq!(fault("/front/pool[nam=a]").kind, FaultKind::UnknownElement);
    assert_eq!(fault("/front/log-level[a=b]").kind, FaultKind::BadElement);
    assert_eq!(fault("/front/log-level/more").kind, FaultKind::UnknownElement);
    for bad in ["/a//b", "/a[b", "/a[b=c", "/a[b=c]d", "/[a=b]"] {
        assert!(parse_path(bad).is_err(), "{bad}");
    }
    assert!(parse_path(&"/a".repeat(MAX_PATH_STEPS + 1)).is_err());
}

#[test]
fn wildcards_select_all_matches() {
    let schema = schema();
    let mut tree = Tree::default();
    for pool in ["a", "b", "c"] {
        set_leaf(&schema, &mut tree, &format!("/front/pool[name={pool}]/admin-state"), "draining");
    }
    let count = |path: &str| {
        let mut places = std::collections::BTreeSet::new();
        for pattern in schema.patterns(&parse_path(path).unwrap()).unwrap() {
            tree.select(&pattern, &mut |place, _| {
                let _ = places.insert(schema.text(place));
            });
        }
        places.len()
    };
    assert_eq!(count("/front/pool/admin-state"), 3);
    assert_eq!(count("/front/pool[name=*]"), 3);
    assert_eq!(count("/front/pool[name=b]/admin-state"), 1);
    assert_eq!(count("/front/*[name=b]/admin-state"), 3); // Keys after a wildcard name are ignored.
    assert_eq!(count("/front/.../admin-state"), 3);
    assert_eq!(count("/front/pool/*"), 6);
    assert!(schema.patterns(&parse_path("/front/nothing").unwrap()).is_err());
}

#[test]
fn edits_of_state_and_keys_are_refused() {
    let schema = schema();
    let mut tree = Tree::default();
    let leaf = Node::Leaf("x".into());
    let mut kind =
        |path: &str, op| tree.apply(&schema, op, &place(&schema, path), Some(&leaf)).unwrap_err().kind;
    assert_eq!(kind("/front/state/name", Op::Merge), FaultKind::ReadOnly);
    assert_eq!(kind("/front/pool[name=a]/name", Op::Replace), FaultKind::BadElement);
    assert_eq!(kind("/front/pool[name=a]/name", Op::Remove), FaultKind::BadElement);
}

#[test]
fn json_that_does_not_fit_the_model_is_refused() {
    let schema = schema();
    let kind = |value| from_json(&schema, None, false, &value).unwrap_err().kind;
    assert_eq!(kind(json!([])), FaultKind::BadElement);
    assert_eq!(kind(json!({"x:front": {}})), FaultKind::UnknownNamespace);
    assert_eq!(kind(json!({"back": {}})), FaultKind::UnknownElement);
    assert_eq!(kind(json!({"front": {"pool": [{}]}})), FaultKind::MissingElement);
    assert_eq!(kind(json!({"front": {"pool": {"name": "a"}}})), FaultKind::BadElement);
    assert_eq!(kind(json!({"front": {"pool": [{"name": "a"}, {"name": "a"}]}})), FaultKind::InvalidValue);
    assert_eq!(kind(json!({"front": {"pool": [{"name": "a", "cell": ["1"]}]}})), FaultKind::InvalidValue);
    assert_eq!(
        kind(json!({"front": {"pool": [{"name": "a", "cell": [5_000_000_000u64]}]}})),
        FaultKind::InvalidValue
    );
    assert_eq!(kind(json!({"front": {"log-level": "loud"}})), FaultKind::InvalidValue);
}
