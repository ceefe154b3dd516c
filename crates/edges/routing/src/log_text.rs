//! Formats values for log lines. Operators' tools parse these lines, so their labels stay as they are when
//! names in the code change.

use lemonusher_zone_failover::ZoneRestriction;
use std::fmt;

/// Formats the zones' restrictions as a list in a log line.
pub(crate) struct LoggedRestrictions<'a>(pub(crate) &'a [ZoneRestriction]);

impl fmt::Debug for LoggedRestrictions<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(LoggedRestriction)).finish()
    }
}

struct LoggedRestriction<'a>(&'a ZoneRestriction);

impl fmt::Debug for LoggedRestriction<'_> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ZoneRestriction { zone, open_permille, blocked_classes } = self.0;
        f.debug_struct("Closure")
            .field("site", zone)
            .field("open", open_permille)
            .field("barred", blocked_classes)
            .finish()
    }
}
