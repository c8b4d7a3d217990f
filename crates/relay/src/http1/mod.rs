//! An HTTP/1.1 client whose callers can match responses to requests.
//!
//! A replica may send a duplicate or late response on a keep-alive connection.
//! Responses are therefore read one head at a time, so that the response to
//! another request can be skipped instead of being mistaken for the expected one.

mod connection;
mod error;
mod framing;
mod head;

pub use connection::Http1Connection;
pub use error::ExchangeError;
pub use framing::BodyFraming;
pub use head::{ResponseHead, write_request};
