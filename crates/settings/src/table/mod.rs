//! Table of all keys. Validation, typed settings, `show` and the reference page are
//! derived from it.

mod daemon_keys;
mod fleet_keys;
mod reference;
mod spec;
mod value;

pub use reference::render_reference;
pub use spec::{KeySpec, ValueKind, ValueUnit, find_key_spec, key_specs};
pub use value::{FixedDecimal, ValueError};

pub(crate) use value::{SettingValue, split_list};
