//! Progress display of a run on standard error.

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use std::time::Duration;

/// Shows the current measurement and its progress. If standard error is not a terminal, it prints only one line for
/// each size.
#[derive(Debug)]
pub struct Progress {
    bar: ProgressBar,
    quiet: bool,
}

impl Progress {
    /// Creates a progress display over `sizes` sizes.
    pub fn new(sizes: usize) -> Self {
        let bar = ProgressBar::new(sizes as u64);
        if let Ok(style) = ProgressStyle::with_template("{bar:24} {pos}/{len} {elapsed} {wide_msg}") {
            bar.set_style(style);
        }
        bar.enable_steady_tick(Duration::from_millis(500));
        Progress { bar, quiet: false }
    }

    /// Creates a progress display without output, for tests.
    pub fn hidden() -> Self {
        Progress { bar: ProgressBar::with_draw_target(None, ProgressDrawTarget::hidden()), quiet: true }
    }

    /// Shows the current step.
    pub fn step(&mut self, what: impl Into<String>) {
        self.bar.set_message(what.into());
    }

    /// Marks one size as done and, unless quiet, prints a line about it.
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

    /// Ends the display and clears the bar.
    pub fn finish(self) {
        self.bar.finish_and_clear();
    }
}
