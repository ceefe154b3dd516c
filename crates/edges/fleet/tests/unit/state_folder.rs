//! Tests that stored state is read again and that a corrupt file of registers is an error.

use super::*;

#[test]
fn stored_state_is_read_again_and_corrupt_files_are_errors() {
    let folder = std::env::temp_dir().join(format!("lemonusher-disk-{}", std::process::id()));
    let mut state_folder = StateFolder::open(&folder).unwrap();
    assert_eq!((state_folder.token_floor(), state_folder.registers()), (None, None));
    state_folder.store_token(5).unwrap();
    let state = PersistentState { epoch: 7, registers: Vec::new() };
    state_folder.store_registers(state.clone()).unwrap();
    let again = StateFolder::open(&folder).unwrap();
    assert_eq!((again.token_floor(), again.registers()), (Some(5 + TOKEN_RESERVE), Some(state)));
    std::fs::write(folder.join("fleet-registers"), b"spoilt").unwrap();
    assert!(StateFolder::open(&folder).is_err());
    std::fs::remove_dir_all(&folder).unwrap();
}
