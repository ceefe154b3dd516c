//! Temporary files of tests.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a path in the folder for temporary files that no other test uses.
pub fn temp_path(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("lemonusher-{}-{number}-{name}", std::process::id()))
}

/// Creates a temporary file with this extension and content.
pub fn temp_file(ending: &str, text: &str) -> PathBuf {
    let path = temp_path(&format!("file.{ending}"));
    std::fs::write(&path, text).unwrap();
    path
}
