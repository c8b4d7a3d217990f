//! Client of the platform's VM list.

mod client;

pub use client::{VmListClient, VmListError, VmListOptions, VmListSnapshot};
