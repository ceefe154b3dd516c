//! Tests that trees of the front's model are converted to pools, limits and a log level.

use lemonusher::EngineEntry;
use lemonusher_desired_state::{DesiredStateReader, Names};
use lemonusher_membership::AdminState;
use lemonusher_model::{FaultKind, Node, Op, Schema, Tree, parse_path};

fn tree(schema: &Schema, leaves: &[(&str, &str)]) -> Tree {
    let mut tree = Tree::default();
    for (path, value) in leaves {
        let place = schema.place(&parse_path(path).unwrap()).unwrap();
        tree.apply(schema, Op::Merge, &place, Some(&Node::Leaf((*value).into()))).unwrap();
    }
    tree
}

fn reader(schema: &Schema) -> DesiredStateReader {
    let list = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let names = Names {
        zones: list(&["east", "west"]),
        machine_kinds: list(&["std"]),
        request_classes: list(&["look-up", "report"]),
    };
    DesiredStateReader::new(schema, names).unwrap()
}

#[test]
fn tree_is_read_in_the_deployments_numbers() {
    let schema = Schema::front().unwrap();
    let tree = tree(
        &schema,
        &[
            ("/front/log-level", "debug"),
            ("/front/service-group[name=report]/most-open", "7"),
            ("/front/pool[name=a]/location[.=west]", "west"),
            ("/front/pool[name=a]/admin-state", "draining"),
            ("/front/pool[name=b]/engine[.=0000000a]", "0000000a"),
            ("/front/pool[name=b]/serves[.=report]", "report"),
        ],
    );
    let config = reader(&schema).read(&schema, &tree).unwrap();
    assert_eq!(config.log_level, "debug");
    let limit = config.desired_state.limits()[1].unwrap();
    assert_eq!((limit.max_open, limit.retry_after.as_millis()), (7, 500));
    assert!(config.desired_state.limits()[0].is_none());
    let entry = |engine, zone| EngineEntry { engine, zone, ..EngineEntry::default() };
    assert_eq!(config.desired_state.admission_of(&entry(1, 1)).admin, AdminState::Draining);
    assert_eq!(config.desired_state.admission_of(&entry(1, 0)).blocked_classes, 0);
    assert_eq!(config.desired_state.admission_of(&entry(10, 0)).blocked_classes, !2);
    assert_eq!(config.desired_state.admission_of(&entry(10, 1)).blocked_classes, u64::MAX);
}

#[test]
fn names_unknown_to_the_deployment_are_declined_with_their_place() {
    let schema = Schema::front().unwrap();
    let tree = tree(
        &schema,
        &[
            ("/front/pool[name=a]/location[.=north]", "north"),
            ("/front/service-group[name=x]/most-open", "7"),
        ],
    );
    let faults = reader(&schema).read(&schema, &tree).unwrap_err();
    let paths: Vec<&str> = faults.iter().filter_map(|fault| fault.path.as_deref()).collect();
    assert_eq!(paths, ["/front/service-group[name=x]", "/front/pool[name=a]/location[.=north]"]);
    assert!(faults.iter().all(|fault| fault.kind == FaultKind::InvalidValue));
    assert!(faults[1].message.contains("east, west"));
}
