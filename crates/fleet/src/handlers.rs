//! Handlers of the calls that a daemon receives from other daemons.

use std::pin::Pin;
use std::sync::Arc;

use futures_lite::Stream;

use crate::error::FleetError;
use crate::proto::{
    AppendHistoryReply, AppendHistoryRequest, BorrowCreditReply, BorrowCreditRequest,
    FetchSettingsReply, FetchSettingsRequest, ForwardChunk, ForwardRequest, HistoryRecord,
    PingIndirectReply, PingIndirectRequest, PingReply, PingRequest, ReadHistoryRequest,
    SealHistoryReply, SealHistoryRequest,
};

/// Future that a handler returns.
pub type HandlerFuture<R> = Pin<Box<dyn Future<Output = Result<R, FleetError>> + Send>>;
/// Stream of reply messages.
pub type ReplyStream<T> = Pin<Box<dyn Stream<Item = Result<T, FleetError>> + Send>>;

pub(crate) type CallHandler<Q, R> = Arc<dyn Fn(Q) -> HandlerFuture<R> + Send + Sync>;

fn not_served<Q, R: 'static>() -> CallHandler<Q, R> {
    Arc::new(|_| Box::pin(async { Err(FleetError::NotServed) }))
}

macro_rules! handlers {
    ($($(#[$doc:meta])* $field:ident: $request:ty => $reply:ty;)*) => {
        /// Handlers of all calls; a call whose handler is not set fails with
        /// [`FleetError::NotServed`].
        ///
        /// ```
        /// use ibisdale_fleet::FleetHandlers;
        /// use ibisdale_fleet::proto::PingReply;
        ///
        /// let handlers = FleetHandlers::new()
        ///     .ping(|_request| async { Ok(PingReply::default()) });
        /// # let _ = handlers;
        /// ```
        #[derive(Clone)]
        pub struct FleetHandlers {
            $(pub(crate) $field: CallHandler<$request, $reply>,)*
        }

        impl FleetHandlers {
            /// Creates a set without handlers.
            #[must_use]
            pub fn new() -> Self {
                Self { $($field: not_served(),)* }
            }

            $(
                $(#[$doc])*
                #[must_use]
                pub fn $field<F>(
                    mut self,
                    handler: impl Fn($request) -> F + Send + Sync + 'static,
                ) -> Self
                where
                    F: Future<Output = Result<$reply, FleetError>> + Send + 'static,
                {
                    self.$field = Arc::new(move |request| Box::pin(handler(request)));
                    self
                }
            )*
        }
    };
}

handlers! {
    /// Sets the handler of membership probes.
    ping: PingRequest => PingReply;
    /// Sets the handler of requests to probe a third daemon.
    ping_indirect: PingIndirectRequest => PingIndirectReply;
    /// Sets the handler of forwarded requests.
    forward: ForwardRequest => ReplyStream<ForwardChunk>;
    /// Sets the handler of requests to borrow part of a workspace's request rate.
    borrow_credit: BorrowCreditRequest => BorrowCreditReply;
    /// Sets the handler of requests for a revision of the settings.
    fetch_settings: FetchSettingsRequest => FetchSettingsReply;
    /// Sets the handler of history appends.
    append_history: AppendHistoryRequest => AppendHistoryReply;
    /// Sets the handler of history reads.
    read_history: ReadHistoryRequest => ReplyStream<HistoryRecord>;
    /// Sets the handler of requests to seal a slot's history.
    seal_history: SealHistoryRequest => SealHistoryReply;
}

impl Default for FleetHandlers {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Debug for FleetHandlers {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetHandlers")
    }
}
