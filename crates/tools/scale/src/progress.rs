//! Progress of a run, on standard error.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::time::Duration;

/// Shows what is measured and how far it is. Draws nothing where standard error is no terminal, but for one line a
/// size.
#[derive(Debug)]
pub struct Progress {
    bar: ProgressBar,
    quiet: bool,
}

impl Progress {
    /// Progress over so many sizes.
    pub fn new(sizes: usize) -> Self {
        let bar = ProgressBar::new(sizes as u64);
        if let Ok(style) = ProgressStyle::with_template("{bar:24} {pos}/{len} {elapsed} {wide_msg}") {
            bar.set_style(style);
        }
        bar.enable_steady_tick(Duration::from_millis(500));
        Progress { bar, quiet: false }
    }

    /// Progress that nobody sees, for tests.
    pub fn hidden() -> Self {
        Progress { bar: ProgressBar::with_draw_target(None, ProgressDrawTarget::hidden()), quiet: true }
    }

    /// Says what is done now.
    pub fn step(&mut self, what: impl Into<String>) {
        self.bar.set_message(what.into());
    }

    /// One size is over.
    pub fn size_done(&mut self, line: &str) {
        self.bar.inc(1);
        if self.quiet {
            return;
        }
        if self.bar.is_hidden() {
            eprintln!("{line}");
        } else {
            self.bar.println(line);
        }
    }

    /// Clears the bar.
    pub fn finish(self) {
        self.bar.finish_and_clear();
    }
}
