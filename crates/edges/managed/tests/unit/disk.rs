//! The log on disk: reopening, compaction, crashes during compaction, and corruption.

use super::*;
use lemonusher_model::{Node, Op, parse_path};
use lemonusher_store::{CommitOptions, Edit, Protocol};
use std::time::Duration;

const BOUNDS: Bounds = Bounds { history: 3, sessions: 4 };

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("lemonusher-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn open(folder: &Path) -> Result<(Disk, Store), DiskError> {
    Disk::open(folder, Arc::new(Schema::front().unwrap()), BOUNDS)
}

fn put(disk: &mut Disk, store: &mut Store, cell: u32) {
    let session = store.open_session("x", Protocol::Local).unwrap();
    let path = format!("/front/pool[name=a]/cell[.={cell}]");
    let place = store.schema().place(&parse_path(&path).unwrap()).unwrap();
    let edit = Edit { op: Op::Merge, place, value: Some(Node::Leaf(cell.to_string().into())) };
    let plan =
        store.edit_running(session, &[edit], &CommitOptions::default(), Duration::ZERO, 0).unwrap().unwrap();
    disk.append(store, &Record::commit(store.schema(), &plan)).unwrap();
    store.finish_commit(plan);
    store.close_session(session);
}

#[test]
fn commits_are_recovered_also_from_a_compacted_log() {
    let folder = folder("back");
    let (mut disk, mut store) = open(&folder).unwrap();
    assert!(matches!(open(&folder), Err(DiskError::InUse(_))));
    for cell in 0..4 {
        put(&mut disk, &mut store, cell);
    }
    disk.compact(&store).unwrap();
    put(&mut disk, &mut store, 9);
    let tree = store.running().tree.clone();
    drop(disk);
    let (disk, store) = open(&folder).unwrap();
    assert_eq!((&store.running().tree, store.running().number), (&tree, 5));
    assert_eq!(disk.length(), std::fs::metadata(folder.join(LOG_FILE)).unwrap().len());
    drop(disk);
    std::fs::remove_dir_all(folder).unwrap();
}

/// The same state is recovered from the folder's contents after each step of a compaction.
#[test]
fn crash_at_any_step_of_compaction_loses_nothing() {
    let folder = folder("steps");
    let (mut disk, mut store) = open(&folder).unwrap();
    (0..4).for_each(|cell| put(&mut disk, &mut store, cell));
    drop(disk);
    let tree = store.running().tree.clone();
    let old = std::fs::read(folder.join(LOG_FILE)).unwrap();
    let new = compact(&store);
    let steps: Vec<(&[u8], Option<&[u8]>)> =
        vec![(&old, Some(b"")), (&old, Some(&new[..new.len() / 2])), (&old, Some(&new)), (&new, None)];
    for (log, next) in steps {
        std::fs::write(folder.join(LOG_FILE), log).unwrap();
        if let Some(next) = next {
            std::fs::write(folder.join(NEXT_LOG_FILE), next).unwrap();
        }
        let (_disk, store) = open(&folder).unwrap();
        assert_eq!(store.running().tree, tree);
        assert!(!folder.join(NEXT_LOG_FILE).exists());
    }
    std::fs::remove_dir_all(folder).unwrap();
}

/// The log is a fixture of the store's tests, written by the program at commit ad164c9.
#[test]
fn folder_of_an_earlier_version_is_opened_and_appended_to() {
    let log = include_bytes!("../../../../core/store/tests/fixtures/state.log");
    let folder = folder("earlier");
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join(LOG_FILE), log).unwrap();
    std::fs::write(folder.join(LOCK_FILE), b"").unwrap();
    let (mut disk, mut store) = open(&folder).unwrap();
    assert_eq!((store.running().number, disk.length()), (19, log.len() as u64));
    assert!(store.startup().is_some() && store.pending().is_some_and(|pending| pending.orphaned));
    let plan = store.poll_timeout(Duration::ZERO, 3000).unwrap();
    let record = Record::commit(store.schema(), &plan);
    disk.append(&store, &record).unwrap();
    store.finish_commit(plan);
    let mut wanted = log.to_vec();
    wanted.extend(encode_record(&record));
    assert_eq!(std::fs::read(folder.join(LOG_FILE)).unwrap(), wanted);
    let tree = store.running().tree.clone();
    drop(disk);
    let (disk, store) = open(&folder).unwrap();
    assert_eq!((&store.running().tree, store.running().number), (&tree, 20));
    drop(disk);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn corrupt_log_is_left_as_it_is() {
    let folder = folder("spoilt");
    let (mut disk, mut store) = open(&folder).unwrap();
    (0..3).for_each(|cell| put(&mut disk, &mut store, cell));
    drop(disk);
    let mut bytes = std::fs::read(folder.join(LOG_FILE)).unwrap();
    bytes[HEADER.len() + 20] ^= 1;
    std::fs::write(folder.join(LOG_FILE), &bytes).unwrap();
    assert!(matches!(open(&folder), Err(DiskError::Recovery(..))));
    assert_eq!(std::fs::read(folder.join(LOG_FILE)).unwrap(), bytes);
    std::fs::remove_dir_all(folder).unwrap();
}
