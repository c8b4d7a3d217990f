//! Metrics and spans of requests and of calls to upstreams.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use ibisdale_core::{RequestId, RequestRefusal};
use ibisdale_net::{BoxBody, NetError};
use ibisdale_telemetry::{SpanKind, TraceSpan};

use crate::context::DaemonContext;

/// Code that metrics give to requests without a refusal.
const CODE_OK: &str = "ok";

/// Starts a span of this daemon; a malformed parent starts a new trace.
pub(crate) fn start_span(
    context: &DaemonContext,
    name: &'static str,
    kind: SpanKind,
    traceparent: Option<&str>,
) -> TraceSpan {
    let parent = traceparent.and_then(|text| text.parse().ok());
    TraceSpan::start(name, kind, parent, context.spans.clone())
        .attribute("ibisdale.daemon", context.identity.name.as_str())
}

/// Watches one request from its head to the end of its answer.
pub(crate) struct RequestWatch {
    context: Arc<DaemonContext>,
    started: Instant,
    route: &'static str,
    code: &'static str,
    span: Option<TraceSpan>,
}

impl RequestWatch {
    /// Starts the watch.
    pub(crate) fn start(
        context: &Arc<DaemonContext>,
        name: &'static str,
        id: RequestId,
        traceparent: Option<&str>,
    ) -> Self {
        let span = start_span(context, name, SpanKind::Server, traceparent)
            .attribute("ibisdale.request", id.to_string());
        Self {
            context: Arc::clone(context),
            started: Instant::now(),
            route: "unknown",
            code: CODE_OK,
            span: Some(span),
        }
    }

    /// Sets the route that metrics name.
    pub(crate) fn set_route(&mut self, route: &'static str) {
        self.route = route;
        if let Some(span) = &mut self.span {
            span.add_attribute("ibisdale.route", route);
        }
    }

    /// Returns the context that goes on to the next hop.
    pub(crate) fn traceparent(&self) -> Option<String> {
        self.span
            .as_ref()
            .map(|span| span.get_context().to_string())
    }

    /// Notes a refusal.
    pub(crate) fn refuse(&mut self, refusal: &RequestRefusal) {
        self.code = refusal.get_code().as_str();
        if let Some(span) = &mut self.span {
            span.fail(self.code);
        }
    }

    /// Watches the answer to its end.
    pub(crate) fn watch(self, response: Response<BoxBody>) -> Response<BoxBody> {
        response.map(|body| WatchedBody { body, _watch: self }.boxed())
    }
}

impl Drop for RequestWatch {
    fn drop(&mut self) {
        let metrics = &self.context.metrics;
        metrics.count_request(self.code);
        metrics.observe_request_duration(self.route, self.started.elapsed());
        if let Some(span) = self.span.take() {
            span.close();
        }
    }
}

/// A body that ends its request's watch when it is dropped.
struct WatchedBody {
    body: BoxBody,
    _watch: RequestWatch,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = NetError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NetError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
