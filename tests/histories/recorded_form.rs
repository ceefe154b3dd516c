//! Actions in the text form from which the digests were recorded.
//!
//! The digests were computed from the actions' debug text. A renamed variant or field must not change them,
//! a change of any value must. So each variant is written here with its names of that time, and no field is
//! left out.

use lemonusher::Action;

/// The text of an action from which its digest is computed.
pub fn recorded_form(action: &Action) -> String {
    match action {
        Action::SetPriority { request, priority, memory_mb } => {
            format!("Rank {{ batch: {request:?}, priority: {priority:?}, memory_mb: {memory_mb:?} }}")
        }
        Action::Send { request, engine, timeout, start_by } => format!(
            "Dispatch {{ batch: {request:?}, engine: {engine:?}, time_out: {timeout:?}, begin_by: {start_by:?} }}"
        ),
        Action::Cancel { request, attempt } => {
            format!("Cancel {{ batch: {request:?}, dispatch: {attempt:?} }}")
        }
        Action::Reject { request, retry_after } => {
            format!("PushBack {{ batch: {request:?}, come_back: {retry_after:?} }}")
        }
        Action::Fail { request } => format!("Error {{ batch: {request:?} }}"),
        Action::SetTimer { at } => format!("Wake {{ at: {at:?} }}"),
        Action::Probe { engine } => format!("Probe {{ engine: {engine:?} }}"),
        Action::WatchEndpoints => "Follow".to_owned(),
    }
}
