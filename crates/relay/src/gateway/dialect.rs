//! What callers and replicas call the fields that the gateway reads and sets.

use http::HeaderName;

/// Names of header fields, given by the adapter of the outside interface.
#[derive(Clone, Debug)]
pub struct HeaderDialect {
    /// Identifier of one attempt of a caller.
    pub attempt: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Object that related requests share, in a cookie of this name.
    pub affinity_cookie: String,
    /// Parts of a prompt with their tokens.
    pub prompt_parts: HeaderName,
    /// Tokens of the prompt and most tokens of the answer.
    pub token_usage: HeaderName,
    /// Last event of a stream that the caller has.
    pub last_event: HeaderName,
    /// Proof of a replica that the answer is its own.
    pub answer_seal: HeaderName,
    /// Name of the workspace, set by the gateway.
    pub workspace: HeaderName,
    /// Replica that alone may run the request, set by the gateway.
    pub target_replica: HeaderName,
    /// Load of a replica: running, waiting, slots.
    pub replica_load: HeaderName,
    /// Statement of a replica that it has not run the request.
    pub not_run: HeaderName,
    /// Urgency at an engine, set by the gateway.
    pub engine_priority: HeaderName,
    /// Program that the request belongs to.
    pub program: HeaderName,
    /// Tokens that all calls of the program may generate.
    pub token_budget: HeaderName,
    /// Fields that only the gateway may set; callers' own are removed.
    pub reserved: Vec<HeaderName>,
}
