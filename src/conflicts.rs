//! Conflicts: decides which requests must not run on the same engine at once (the conflict ordering of the
//! paper).
//!
//! A bulk load locks its table group on its engine: other bulk loads of the group, and requests that wait
//! for bulk loads, would hang there. Inputs: this front's attempts on the engine, bulk loads of other fronts
//! that progress reports have shown (each for one progress interval), and the starvation header if its
//! engine is this one.

use crate::deployment::RequestClassConfig;
use crate::engine::Engine;
use crate::gateway::Gateway;
use crate::request::Request;
use std::time::Duration;

impl Gateway {
    /// Whether a request would hang on an engine, would block others there, or would delay the starvation
    /// header.
    pub(crate) fn conflicts(&self, now: Duration, request: &Request, engine: &Engine) -> bool {
        let config = &self.classes[request.class].config;
        let bulk_loading = engine.bulk_loads.contains_key(&request.table_group)
            || engine.other_fronts_bulk_loads.get(&request.table_group).is_some_and(|until| *until > now);
        self.conflicts_with_header(request, engine)
            || (config.bulk_load && (bulk_loading || engine.readers.contains_key(&request.table_group)))
            || (config.waits_for_bulk_loads && bulk_loading)
    }

    fn conflicts_with_header(&self, request: &Request, engine: &Engine) -> bool {
        let header = self.starvation_header.filter(|header| header.engine == engine.entry.engine);
        let Some(header) = header.and_then(|header| self.requests.get(header.sequence)) else { return false };
        let same_group = header.table_group == request.table_group && header.id != request.id;
        let (config, header) = (&self.classes[request.class].config, &self.classes[header.class].config);
        same_group && exclude_each_other(config, header)
    }
}

/// Whether requests of two classes on one table group must not run on the same engine at once.
fn exclude_each_other(one: &RequestClassConfig, other: &RequestClassConfig) -> bool {
    (one.bulk_load && (other.bulk_load || other.waits_for_bulk_loads))
        || (one.waits_for_bulk_loads && other.bulk_load)
}
