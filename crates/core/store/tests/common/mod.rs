//! A store with the front's model, and helpers for edits and commits.

#![allow(dead_code)]

use lemonusher_model::{Node, NodeRef, Op, Schema, Tree, parse_path};
use lemonusher_store::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub type Leaves = BTreeMap<String, String>;

pub const BOUNDS: Bounds = Bounds { history: 5, sessions: 8 };

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn new_store() -> Store {
    Store::new(Arc::new(Schema::front().unwrap()), BOUNDS)
}

pub fn edit(schema: &Schema, op: Op, path: &str, value: Option<&str>) -> Edit {
    let place = schema.place(&parse_path(path).unwrap()).unwrap();
    Edit { op, place, value: value.map(|value| Node::Leaf(value.into())) }
}

pub fn set(store: &Store, path: &str, value: &str) -> Edit {
    edit(store.schema(), Op::Merge, path, Some(value))
}

pub fn leaf(store: &Store, tree: &Tree, path: &str) -> Option<String> {
    let place = store.schema().place(&parse_path(path).unwrap()).unwrap();
    match tree.get(&place) {
        Some(NodeRef::Leaf(value)) => Some(value.to_string()),
        _ => None,
    }
}

pub fn leaves(store: &Store, tree: &Tree) -> Leaves {
    let mut found = BTreeMap::new();
    tree.for_each_leaf(|place, value| drop(found.insert(store.schema().text(place), value.to_string())));
    found
}

/// Commits the session's candidate.
pub fn commit(
    store: &mut Store,
    session: SessionId,
    options: CommitOptions,
    now: Duration,
) -> Result<(), StoreError> {
    if let Some(plan) = store.commit(session, &options, now, 0)? {
        store.finish_commit(plan);
    }
    Ok(())
}

pub const LEVEL: &str = "/front/log-level";
