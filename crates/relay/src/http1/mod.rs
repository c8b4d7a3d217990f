//! An HTTP/1.1 client whose user can check which request a response belongs to.
//!
//! A replica may send a duplicate or late response on a keep-alive connection.
//! The head is therefore returned before the body is read, so that the user can compare
//! the request identifier and skip the response to another request instead of mistaking
//! it for the expected one.

mod connection;
mod error;
mod framing;
mod head;

pub use connection::Http1Connection;
pub use error::ExchangeError;
pub use framing::BodyDecoder;
pub use head::{ResponseHead, serialize_parts, serialize_request};
