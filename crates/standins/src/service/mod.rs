//! An order service: bookings that may not be repeated, badge changes that may.

mod options;
mod server;

pub use options::{ServiceCounters, ServiceFault, ServiceOptions};
pub use server::ServiceServer;
