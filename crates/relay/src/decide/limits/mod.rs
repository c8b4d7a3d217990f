//! Request limits that replicas in need name in their responses.

mod grants;
mod statement;
mod table;

pub(crate) use grants::{COLD_BURST, GRANT_PERCENT};
pub use grants::{GrantCandidate, GrantLedger, GrantOutcome, GrantQuery, GrantShare};
pub use statement::LimitStatement;
pub use table::{LimitChange, LimitReport, LimitTable, StartKey};
