//! TCP listeners and outgoing connections.

use std::net::{SocketAddr, TcpListener, TcpStream};

use smol::Async;
use snafu::ResultExt;

use crate::error::{ConnectSnafu, ListenSnafu, NetError};

/// Binds a listener; port 0 selects any free port.
///
/// # Errors
///
/// Fails with [`NetError::Listen`] when the address can't be bound.
pub fn bind_listener(address: SocketAddr) -> Result<Async<TcpListener>, NetError> {
    Async::<TcpListener>::bind(address).context(ListenSnafu { address })
}

/// Opens a connection with Nagle's algorithm disabled.
pub(crate) async fn connect_stream(address: SocketAddr) -> Result<Async<TcpStream>, NetError> {
    let stream = Async::<TcpStream>::connect(address)
        .await
        .context(ConnectSnafu { address })?;
    stream
        .get_ref()
        .set_nodelay(true)
        .context(ConnectSnafu { address })?;
    Ok(stream)
}
