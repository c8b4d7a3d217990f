//! Request and response bodies of the admin API, shared by the daemon and the
//! command-line client.

mod change;
mod finding;
mod key;
mod program;
mod refusal;
mod settings;
mod status;

pub use change::SettingChange;
pub use finding::{FindingKind, SettingsFinding, SourcePlace};
pub use key::{KeyGrantReply, KeyWithdrawReply};
pub use program::{ProgramSummary, ProgramsReply};
pub use refusal::{AdminRefusal, RefusalDetail, SettingsConflict};
pub use settings::{ApplyReply, ApplyRequest, RevisionSummary, RevisionsReply, SettingsText};
pub use status::{DrainReply, MemberState, MemberStatus, StatusReply};
