//! The engine table: engines are found by id and by slot, sorted by id whatever the order of insertion.

#[path = "../src/endpoint.rs"]
#[allow(dead_code)]
mod endpoint;
#[path = "../src/engine_table.rs"]
#[allow(dead_code)]
mod engine_table;

use engine_table::EngineTable;

fn table() -> EngineTable<String> {
    let mut table = EngineTable::default();
    for id in [7, 2, 9, 4] {
        table.get_or_insert(id, format!("engine {id}"));
    }
    table
}

#[test]
fn engines_are_found_by_id_and_by_slot_in_order() {
    let mut table = table();
    assert_eq!(table.ids().collect::<Vec<_>>(), [2, 4, 7, 9]);
    assert_eq!(table.at(2).map(String::as_str), Some("engine 7"));
    assert_eq!(table.at(4), None);
    assert_eq!(table.get(&3), None);
    assert_eq!(table[&9], "engine 9");
    table.get_mut(&4).expect("known").push('!');
    assert_eq!(table.values().nth(1).map(String::as_str), Some("engine 4!"));
}

#[test]
fn a_known_engine_keeps_its_value_when_inserted_again() {
    let mut table = table();
    assert_eq!(table.get_or_insert(7, "another".to_string()), "engine 7");
    assert_eq!(table.len(), 4);
}

#[test]
fn slots_close_up_when_engines_are_removed() {
    let mut table = table();
    table.retain(|engine| engine != "engine 4");
    assert_eq!(table.ids().collect::<Vec<_>>(), [2, 7, 9]);
    assert_eq!(table.at(1).map(String::as_str), Some("engine 7"));
    assert!(table.values_mut().all(|engine| engine.starts_with("engine")));
}
