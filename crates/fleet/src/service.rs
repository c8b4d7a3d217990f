//! Server: passes each call to its handler.

use std::net::TcpListener;
use std::pin::Pin;

use futures_lite::{Stream, StreamExt};
use ibisdale_clients::ConnectionLimiter;
use ibisdale_net::{LinkCounters, ShutdownSignal, TrafficExecutor, serve_grpc};
use smol::Async;
use tonic::{Request, Response, Status};

use crate::error::FleetError;
use crate::handlers::{CallHandler, FleetHandlers, ReplyStream};
use crate::proto::fleet_server::{Fleet, FleetServer};
use crate::proto::{
    AppendHistoryReply, AppendHistoryRequest, BorrowCreditReply, BorrowCreditRequest,
    FetchSettingsReply, FetchSettingsRequest, ForwardChunk, ForwardRequest, HistoryRecord,
    PingIndirectReply, PingIndirectRequest, PingReply, PingRequest, ReadHistoryRequest,
    SealHistoryReply, SealHistoryRequest,
};

/// Maximum size of a message that the server receives or sends, in bytes.
const MESSAGE_MAX_BYTES: usize = 16 * 1_024 * 1_024;

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

struct FleetService {
    handlers: FleetHandlers,
}

async fn handle_unary<Q, R>(
    handler: &CallHandler<Q, R>,
    request: Request<Q>,
) -> Result<Response<R>, Status> {
    let reply = handler(request.into_inner()).await;
    reply.map(Response::new).map_err(FleetError::into_status)
}

async fn handle_streaming<Q, T: Send + 'static>(
    handler: &CallHandler<Q, ReplyStream<T>>,
    request: Request<Q>,
) -> Result<Response<ResponseStream<T>>, Status> {
    let stream = handler(request.into_inner())
        .await
        .map_err(FleetError::into_status)?;
    let items = stream.map(|item| item.map_err(FleetError::into_status));
    Ok(Response::new(Box::pin(items)))
}

#[tonic::async_trait]
impl Fleet for FleetService {
    type ForwardStream = ResponseStream<ForwardChunk>;
    type ReadHistoryStream = ResponseStream<HistoryRecord>;

    async fn ping(&self, request: Request<PingRequest>) -> Result<Response<PingReply>, Status> {
        handle_unary(&self.handlers.ping, request).await
    }

    async fn ping_indirect(
        &self,
        request: Request<PingIndirectRequest>,
    ) -> Result<Response<PingIndirectReply>, Status> {
        handle_unary(&self.handlers.ping_indirect, request).await
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        handle_streaming(&self.handlers.forward, request).await
    }

    async fn borrow_credit(
        &self,
        request: Request<BorrowCreditRequest>,
    ) -> Result<Response<BorrowCreditReply>, Status> {
        handle_unary(&self.handlers.borrow_credit, request).await
    }

    async fn fetch_settings(
        &self,
        request: Request<FetchSettingsRequest>,
    ) -> Result<Response<FetchSettingsReply>, Status> {
        handle_unary(&self.handlers.fetch_settings, request).await
    }

    async fn append_history(
        &self,
        request: Request<AppendHistoryRequest>,
    ) -> Result<Response<AppendHistoryReply>, Status> {
        handle_unary(&self.handlers.append_history, request).await
    }

    async fn read_history(
        &self,
        request: Request<ReadHistoryRequest>,
    ) -> Result<Response<Self::ReadHistoryStream>, Status> {
        handle_streaming(&self.handlers.read_history, request).await
    }

    async fn seal_history(
        &self,
        request: Request<SealHistoryRequest>,
    ) -> Result<Response<SealHistoryReply>, Status> {
        handle_unary(&self.handlers.seal_history, request).await
    }
}

/// Serves the calls of other daemons until shutdown; `traffic` counts what is sent to
/// them.
pub async fn serve_fleet(
    listener: Async<TcpListener>,
    executor: TrafficExecutor,
    limiter: ConnectionLimiter,
    shutdown: ShutdownSignal,
    handlers: FleetHandlers,
    traffic: LinkCounters,
) {
    let server = FleetServer::new(FleetService { handlers })
        .max_decoding_message_size(MESSAGE_MAX_BYTES)
        .max_encoding_message_size(MESSAGE_MAX_BYTES);
    serve_grpc(listener, executor, limiter, shutdown, server, traffic).await;
}
