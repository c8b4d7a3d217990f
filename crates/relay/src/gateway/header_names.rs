//! Names of the HTTP headers that the gateway reads and sets.

use http::HeaderName;

/// Names of the HTTP headers that are exchanged with callers and replicas.
///
/// The platform adapter supplies them.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifier of a caller's attempt.
    pub attempt: HeaderName,
    /// Time for which the caller waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Name of the affinity cookie; related requests carry the same value.
    pub affinity_cookie: String,
    /// Parts of the prompt with their numbers of tokens.
    pub prompt_parts: HeaderName,
    /// Number of prompt tokens and maximum number of tokens of the response.
    pub token_usage: HeaderName,
    /// Number of the last event that the caller received before it resumes a stream.
    pub last_event: HeaderName,
    /// Client attempt that brought the first event of the stream that the caller resumes.
    pub resumed_attempt: HeaderName,
    /// Proof that the response was created by the replica.
    pub response_seal: HeaderName,
    /// Name of the workspace, set by the gateway.
    pub workspace: HeaderName,
    /// The only replica that may run the request, set by the gateway.
    pub target_replica: HeaderName,
    /// Load of a replica: running requests, waiting requests and slots.
    pub replica_load: HeaderName,
    /// `1` in the responses of a replica that leaves.
    pub replica_leaving: HeaderName,
    /// Requests per second that a replica in need takes from all VMs together.
    pub replica_limit: HeaderName,
    /// Time for which a replica stays cold, in milliseconds.
    pub replica_cold: HeaderName,
    /// Set by a replica that has not run the request.
    pub not_run: HeaderName,
    /// Priority of the request at an engine, set by the gateway.
    pub engine_priority: HeaderName,
    /// Program that the request belongs to.
    pub program: HeaderName,
    /// Turn that a turn continues, on routes whose turns are kept.
    pub previous_turn: HeaderName,
    /// Token budget that all calls of the program share.
    pub token_budget: HeaderName,
    /// Headers that only the gateway may set; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
}
