//! Client: a pool with one connection (link) to each daemon, opened on demand and
//! replaced when it is closed or a call on it times out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::{FutureExt, StreamExt, stream};
use ibisdale_net::{ConnectOptions, GrpcChannel, LinkCounters, TrafficExecutor};
use snafu::ResultExt;
use tonic::{Request, Response, Status};

use crate::error::{FleetError, LinkSnafu};
use crate::handlers::ReplyStream;
use crate::proto::fleet_client::FleetClient;
use crate::proto::{
    AppendHistoryReply, AppendHistoryRequest, BorrowCreditReply, BorrowCreditRequest,
    FetchSettingsReply, FetchSettingsRequest, HistoryRecord, PingIndirectReply,
    PingIndirectRequest, PingReply, PingRequest, ReadHistoryRequest, SealHistoryReply,
    SealHistoryRequest,
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) type LinkClient = FleetClient<GrpcChannel>;

/// Pool of connections to the other daemons.
///
/// Cheap to clone; all clones share the connections.
#[derive(Clone, Debug)]
pub struct FleetLinks {
    executor: TrafficExecutor,
    channels: Arc<Mutex<HashMap<SocketAddr, GrpcChannel>>>,
    traffic: LinkCounters,
}

macro_rules! unary_calls {
    ($($(#[$doc:meta])* $name:ident: $request:ty => $reply:ty;)*) => {
        $(
            $(#[$doc])*
            ///
            /// # Errors
            ///
            /// Fails when no connection can be opened, the daemon rejects the call, or
            /// the call takes longer than `timeout`.
            pub async fn $name(
                &self,
                address: SocketAddr,
                request: $request,
                timeout: Duration,
            ) -> Result<$reply, FleetError> {
                self.call(address, timeout, async |mut client| {
                    client.$name(Request::new(request)).await
                })
                .await
            }
        )*
    };
}

impl FleetLinks {
    /// Creates an empty pool whose connection tasks run on `executor`.
    #[must_use]
    pub fn new(executor: TrafficExecutor) -> Self {
        Self {
            executor,
            channels: Arc::default(),
            traffic: LinkCounters::default(),
        }
    }

    /// Returns the counters of the traffic sent on the connections.
    #[must_use]
    pub fn get_traffic(&self) -> &LinkCounters {
        &self.traffic
    }

    unary_calls! {
        /// Sends a membership probe.
        ping: PingRequest => PingReply;
        /// Asks a daemon to probe a third one.
        ping_indirect: PingIndirectRequest => PingIndirectReply;
        /// Borrows part of a workspace's request rate (rate credit).
        borrow_credit: BorrowCreditRequest => BorrowCreditReply;
        /// Reads a revision of the settings.
        fetch_settings: FetchSettingsRequest => FetchSettingsReply;
        /// Appends history records at a holder, a daemon that stores a copy of the
        /// history.
        append_history: AppendHistoryRequest => AppendHistoryReply;
        /// Makes a holder refuse appends to a slot's history whose epoch is below the
        /// given one.
        seal_history: SealHistoryRequest => SealHistoryReply;
    }

    /// Reads history records from a holder.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened, the holder rejects the call, or the
    /// stream does not begin within `timeout`. The stream yields an error when it is
    /// interrupted or not complete within `timeout` after it is first polled.
    pub async fn read_history(
        &self,
        address: SocketAddr,
        request: ReadHistoryRequest,
        timeout: Duration,
    ) -> Result<ReplyStream<HistoryRecord>, FleetError> {
        let send_request =
            async |mut client: LinkClient| client.read_history(Request::new(request)).await;
        let records = self.call(address, timeout, send_request).await?;
        let timer = stream::once_future(async move {
            smol::Timer::after(timeout).await;
            Err(FleetError::Timeout { timeout })
        });
        let records = records.map(|record| record.map_err(FleetError::from));
        // `or` does not end with its first stream: without the `None` after the last
        // record, a complete read would wait for the timeout and yield its error.
        let terminated = records.map(Some).chain(stream::once(None));
        let merged = terminated.or(timer.map(Some));
        Ok(Box::pin(
            merged
                .take_while(Option::is_some)
                .filter_map(|record| record),
        ))
    }

    async fn call<R>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        send_request: impl AsyncFnOnce(LinkClient) -> Result<Response<R>, Status>,
    ) -> Result<R, FleetError> {
        let reply = async {
            let client = self.client(address).await?;
            let response = send_request(client).await?;
            Ok(response.into_inner())
        };
        let timer = async {
            smol::Timer::after(timeout).await;
            Err(FleetError::Timeout { timeout })
        };
        let result = reply.or(timer).await;
        if matches!(result, Err(FleetError::Timeout { .. })) {
            // The peer may no longer respond on this connection; the next call opens a
            // new one.
            self.drop_link(address);
        }
        result
    }

    /// Returns a client for `address`; opens a connection when none is open.
    pub(crate) async fn client(&self, address: SocketAddr) -> Result<LinkClient, FleetError> {
        if let Some(channel) = self.find_open_channel(address) {
            return Ok(FleetClient::new(channel));
        }
        let options = ConnectOptions::new().timeout(CONNECT_TIMEOUT);
        let traffic = self.traffic.clone();
        let opened = GrpcChannel::open(address, &self.executor, options, traffic).await;
        let channel = opened.context(LinkSnafu)?;
        self.lock_channels().insert(address, channel.clone());
        Ok(FleetClient::new(channel))
    }

    /// Removes the connection to `address` from the pool, so that the next call opens a
    /// new one.
    pub fn drop_link(&self, address: SocketAddr) {
        self.lock_channels().remove(&address);
    }

    fn find_open_channel(&self, address: SocketAddr) -> Option<GrpcChannel> {
        let channels = self.lock_channels();
        channels
            .get(&address)
            .filter(|channel| !channel.is_closed())
            .cloned()
    }

    fn lock_channels(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, GrpcChannel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
