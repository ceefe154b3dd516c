//! Tests of the basis of the capacity page: fits, resource limits, the page's tables, and each role at small sizes.
//! Output lines that begin with `proof:` contain figures; no test depends on measured times.

mod fits;
mod lateness;
mod limits;
mod page;
mod roles;
