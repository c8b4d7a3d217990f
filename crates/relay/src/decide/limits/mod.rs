//! Request limits that replicas in need name in their responses.

mod statement;
mod table;

pub use statement::LimitStatement;
pub use table::{LimitChange, LimitReport, LimitTable, StartKey};
