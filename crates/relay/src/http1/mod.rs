//! The calling side of HTTP/1.1 with answers that are matched to requests.
//!
//! A replica may send a second or a late answer on a kept connection. The
//! connection is therefore read head by head, so that an answer of another
//! request can be skipped instead of being taken for the expected one.

mod connection;
mod error;
mod framing;
mod head;

pub use connection::Http1Connection;
pub use error::ExchangeError;
pub use framing::BodyFraming;
pub use head::{ResponseHead, write_request};
