//! The calling side: one link to each daemon, opened on demand and replaced
//! when it is closed or silent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::{FutureExt, StreamExt, stream};
use ibisdale_net::{ConnectOptions, GrpcChannel, LinkTraffic, TrafficExecutor};
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

/// Time in which a link must open.
const LINK_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) type LinkClient = FleetClient<GrpcChannel>;

/// Links to the other daemons.
///
/// Cheap to clone; all clones share the links.
#[derive(Clone, Debug)]
pub struct FleetLinks {
    executor: TrafficExecutor,
    channels: Arc<Mutex<HashMap<SocketAddr, GrpcChannel>>>,
    traffic: LinkTraffic,
}

macro_rules! unary_calls {
    ($($(#[$doc:meta])* $name:ident: $request:ty => $reply:ty;)*) => {
        $(
            $(#[$doc])*
            ///
            /// # Errors
            ///
            /// Fails when no link opens, the daemon refuses or `limit` passes.
            pub async fn $name(
                &self,
                address: SocketAddr,
                request: $request,
                limit: Duration,
            ) -> Result<$reply, FleetError> {
                self.call(address, limit, async |mut client| {
                    client.$name(Request::new(request)).await
                })
                .await
            }
        )*
    };
}

impl FleetLinks {
    /// Creates an empty set of links whose tasks run on `executor`.
    #[must_use]
    pub fn new(executor: TrafficExecutor) -> Self {
        Self {
            executor,
            channels: Arc::default(),
            traffic: LinkTraffic::default(),
        }
    }

    /// Returns the counts of what the links send.
    #[must_use]
    pub fn get_traffic(&self) -> &LinkTraffic {
        &self.traffic
    }

    unary_calls! {
        /// Probes a daemon.
        ping: PingRequest => PingReply;
        /// Has a daemon probe another.
        ping_indirect: PingIndirectRequest => PingIndirectReply;
        /// Borrows rate credit.
        borrow_credit: BorrowCreditRequest => BorrowCreditReply;
        /// Reads a revision of the settings.
        fetch_settings: FetchSettingsRequest => FetchSettingsReply;
        /// Appends history records.
        append_history: AppendHistoryRequest => AppendHistoryReply;
        /// Seals a slot's history.
        seal_history: SealHistoryRequest => SealHistoryReply;
    }

    /// Reads history records from a holder.
    ///
    /// # Errors
    ///
    /// Fails when no link opens or the holder refuses; the stream fails when it
    /// is cut or takes longer than `limit` in all.
    pub async fn read_history(
        &self,
        address: SocketAddr,
        request: ReadHistoryRequest,
        limit: Duration,
    ) -> Result<ReplyStream<HistoryRecord>, FleetError> {
        let exchange =
            async |mut client: LinkClient| client.read_history(Request::new(request)).await;
        let records = self.call(address, limit, exchange).await?;
        let expire = stream::once_future(async move {
            smol::Timer::after(limit).await;
            Err(FleetError::Timeout { limit })
        });
        let records = records.map(|record| record.map_err(FleetError::from));
        // The end of the records ends the stream; the timer alone never does.
        let ended = records.map(Some).chain(stream::once(None));
        let merged = ended.or(expire.map(Some));
        Ok(Box::pin(
            merged
                .take_while(Option::is_some)
                .filter_map(|record| record),
        ))
    }

    async fn call<R>(
        &self,
        address: SocketAddr,
        limit: Duration,
        exchange: impl AsyncFnOnce(LinkClient) -> Result<Response<R>, Status>,
    ) -> Result<R, FleetError> {
        let answer = async {
            let client = self.client(address).await?;
            let response = exchange(client).await?;
            Ok(response.into_inner())
        };
        let expire = async {
            smol::Timer::after(limit).await;
            Err(FleetError::Timeout { limit })
        };
        let result = answer.or(expire).await;
        if matches!(result, Err(FleetError::Timeout { .. })) {
            // The link may be silent for good; the next call opens a new one.
            self.drop_link(address);
        }
        result
    }

    /// Returns a client on an open link to `address`.
    pub(crate) async fn client(&self, address: SocketAddr) -> Result<LinkClient, FleetError> {
        if let Some(channel) = self.open_channel(address) {
            return Ok(FleetClient::new(channel));
        }
        let options = ConnectOptions::new().timeout(LINK_TIMEOUT);
        let traffic = self.traffic.clone();
        let opened = GrpcChannel::open(address, &self.executor, options, traffic).await;
        let channel = opened.context(LinkSnafu)?;
        self.lock_channels().insert(address, channel.clone());
        Ok(FleetClient::new(channel))
    }

    /// Forgets the link to `address`, so that the next call opens a new one.
    pub fn drop_link(&self, address: SocketAddr) {
        self.lock_channels().remove(&address);
    }

    fn open_channel(&self, address: SocketAddr) -> Option<GrpcChannel> {
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
