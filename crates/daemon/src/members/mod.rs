//! Membership on the wire: probes to other daemons and what they answer.

mod convert;
mod driver;
mod handle;
mod probe;

pub(crate) use driver::{MemberSettings, start_members};
pub(crate) use handle::{MemberHandle, MemberSnapshot};
