//! Histories as text: an event a line, as JSON.

use crate::World;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reason why a history can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// A line is not an event.
    #[error("line {line} is not an event: {error}")]
    Parse {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// An event can't happen in the state that the lines before it lead to.
    #[error("line {line}: the event can't happen then")]
    Impossible {
        /// Number of the line, from 1.
        line: usize,
    },
}

/// Writes a history, an event a line.
pub fn to_text<S: Serialize>(steps: &[S]) -> Result<String, serde_json::Error> {
    let lines: Result<Vec<String>, _> = steps.iter().map(serde_json::to_string).collect();
    Ok(lines?.join("\n") + "\n")
}

/// Reads a history. Blank lines are skipped.
pub fn from_text<S: DeserializeOwned>(text: &str) -> Result<Vec<S>, ReplayError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let parse = |(index, line)| {
        serde_json::from_str(line).map_err(|error| ReplayError::Parse { line: index + 1, error })
    };
    lines.map(parse).collect()
}

/// Replays a history, and returns the state after each event.
pub fn replay<W: World>(bounds: &W::Bounds, steps: &[W::Step]) -> Result<Vec<W>, ReplayError> {
    let mut state = W::begin(bounds);
    let mut states = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        if !state.steps(bounds).contains(step) {
            return Err(ReplayError::Impossible { line: index + 1 });
        }
        state.apply(bounds, step);
        states.push(state.clone());
    }
    Ok(states)
}
