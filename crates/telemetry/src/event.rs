//! The catalogue of log events.

use std::fmt::{self, Display};

use log::{Level, Record};

/// Log target of all numbered events.
pub(crate) const EVENT_TARGET: &str = "ibisdale";
/// Key of the event number in a record's key-value pairs.
pub(crate) const EVENT_NUMBER_KEY: &str = "event_number";
/// Key of the event name in a record's key-value pairs.
pub(crate) const EVENT_NAME_KEY: &str = "event_name";

macro_rules! log_events {
    ($($variant:ident = $number:literal, $level:ident, $name:literal,
        [$($field:literal),*], $message:literal;)*) => {
        /// A numbered log event.
        ///
        /// Numbers are never reused. Each block of one hundred has a subject:
        ///
        /// - 1000: daemon start and shutdown, internal errors
        /// - 1100: settings and API keys
        /// - 1200: key-value service, leases and the VM list
        /// - 1300: other daemons
        /// - 1400: slots and epochs
        /// - 1500: requests and programs
        /// - 1600: upstreams
        /// - 1700: history
        /// - 1800: rate credit
        /// - 1900: trace spans and operators' requests
        /// - 2000: gateway start and shutdown, connections and log output
        /// - 2100: gateway configuration, replicas and VMs
        /// - 2200: gateway requests, budgets and rate limits
        /// - 2300: kept turns
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum LogEvent {
            $(#[doc = $message] $variant,)*
        }

        impl LogEvent {
            /// All events, ordered by number.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the stable event number.
            #[must_use]
            pub const fn get_number(self) -> u32 {
                match self { $(Self::$variant => $number),* }
            }

            /// Returns the level that the event is logged at.
            #[must_use]
            pub const fn get_level(self) -> Level {
                match self { $(Self::$variant => Level::$level),* }
            }

            /// Returns the event name in snake case.
            #[must_use]
            pub const fn get_name(self) -> &'static str {
                match self { $(Self::$variant => $name),* }
            }

            /// Returns the names of the event's fields.
            #[must_use]
            pub const fn get_fields(self) -> &'static [&'static str] {
                match self { $(Self::$variant => &[$($field),*]),* }
            }

            /// Returns the fixed message text.
            #[must_use]
            pub const fn get_message(self) -> &'static str {
                match self { $(Self::$variant => $message),* }
            }
        }
    };
}

log_events! {
    DaemonStarted = 1001, Info, "daemon_started",
        ["daemon", "entry", "fleet", "operators"], "The daemon has started and accepts requests.";
    DaemonDraining = 1002, Info, "daemon_draining",
        ["daemon"], "A graceful shutdown has started.";
    DaemonStopped = 1003, Info, "daemon_stopped",
        ["daemon"], "The daemon has finished all requests and is exiting.";
    StartFailed = 1004, Error, "start_failed",
        ["error"], "The daemon failed to start.";
    SignalRepeated = 1005, Info, "signal_repeated",
        ["signal"], "A repeated signal was ignored because a graceful shutdown is already in progress.";
    DrainStep = 1006, Info, "drain_step",
        ["step", "left"], "The graceful shutdown reached its next stage.";
    InternalError = 1007, Error, "internal_error",
        ["place", "error"], "An unexpected internal error occurred.";

    SettingsInForce = 1101, Info, "settings_in_force",
        ["revision"], "A settings revision took effect.";
    SettingsRefused = 1102, Warn, "settings_refused",
        ["revision", "findings"], "A settings revision failed validation and was not applied.";
    SettingsStale = 1103, Warn, "settings_stale",
        ["revision", "age_ms"], "Neither the key-value service nor a peer confirmed the settings revision recently; requests to routes that require a key are refused.";
    SettingsConfirmed = 1104, Info, "settings_confirmed",
        ["revision"], "The key-value service or a peer confirmed the settings revision again.";
    SettingsOlder = 1105, Warn, "settings_older",
        ["offered", "revision"], "An older settings revision was received from the key-value service and ignored.";
    SettingsApplied = 1106, Info, "settings_applied",
        ["revision", "operator"], "An operator's settings were accepted as a new revision.";
    KeyGranted = 1107, Info, "key_granted",
        ["workspace", "key", "revision"], "An operator granted an API key.";
    KeyWithdrawn = 1108, Info, "key_withdrawn",
        ["workspace", "key", "revision"], "An operator revoked an API key.";

    PlatformUnavailable = 1201, Warn, "platform_unavailable",
        ["error"], "The key-value service is not responding.";
    PlatformAvailable = 1202, Info, "platform_available",
        ["outage_ms"], "The key-value service is responding again.";
    LeaseGranted = 1203, Info, "lease_granted",
        ["lease"], "The daemon was granted a new lease.";
    LeaseLost = 1204, Warn, "lease_lost",
        ["lease"], "The daemon's lease expired.";
    WriteSettled = 1205, Info, "write_settled",
        ["record", "applied"], "The outcome of a write whose response was lost was determined by reading the record back.";
    VmListUnavailable = 1206, Warn, "vm_list_unavailable",
        ["error"], "The list of VMs could not be read.";
    PlatformBudgetSpent = 1207, Warn, "platform_budget_spent",
        ["calls"], "Calls to the key-value service are throttled by their rate limit.";

    MemberAlive = 1301, Info, "member_alive",
        ["daemon", "address"], "Another daemon joined or is responding again.";
    MemberSuspect = 1302, Warn, "member_suspect",
        ["daemon"], "Another daemon does not respond to probes.";
    MemberDead = 1303, Warn, "member_dead",
        ["daemon"], "Another daemon was declared dead.";
    MemberDraining = 1304, Info, "member_draining",
        ["daemon"], "Another daemon is draining.";
    PeerSilent = 1305, Warn, "peer_silent",
        ["daemon", "address"], "A connection to another daemon is unresponsive and is being replaced.";
    ForwardFailed = 1306, Warn, "forward_failed",
        ["daemon", "error"], "A request could not be forwarded to the owner of its program.";

    SlotsTaken = 1401, Info, "slots_taken",
        ["count"], "The daemon acquired slots.";
    SlotLost = 1402, Warn, "slot_lost",
        ["slot", "epoch"], "Another daemon took over a slot.";
    SlotsHandedOver = 1403, Info, "slots_handed_over",
        ["count"], "The daemon handed over slots.";
    EpochStale = 1404, Warn, "epoch_stale",
        ["slot", "epoch"], "A history append was rejected because its slot has a later epoch.";

    RequestRefused = 1501, Debug, "request_refused",
        ["request", "code", "run_state"], "A request was refused.";
    ProgramStarted = 1502, Debug, "program_started",
        ["program", "workspace"], "A program started.";
    ProgramEnded = 1503, Debug, "program_ended",
        ["program", "reason"], "A program ended.";
    OutcomeUnknown = 1504, Warn, "outcome_unknown",
        ["program", "step"], "It is unknown whether a non-idempotent step ran.";
    HistoryLost = 1505, Error, "history_lost",
        ["program"], "No complete copy of a program's history was found.";
    ProgramsRecovered = 1506, Info, "programs_recovered",
        ["slot", "count"], "The programs of a slot were recovered after a takeover.";
    CallerGone = 1507, Debug, "caller_gone",
        ["request"], "A caller closed its connection before the response was complete.";

    UpstreamFailed = 1601, Warn, "upstream_failed",
        ["upstream", "kind", "run_state", "error"], "A call to an upstream failed.";
    UpstreamAvoided = 1602, Warn, "upstream_avoided",
        ["upstream", "failures"], "An upstream was ejected because of its failures and receives no requests.";
    UpstreamRestored = 1603, Info, "upstream_restored",
        ["upstream"], "An upstream receives requests again.";
    UpstreamLeaving = 1604, Info, "upstream_leaving",
        ["upstream"], "An upstream is draining and receives no new work.";
    OrderFenced = 1605, Warn, "order_fenced",
        ["upstream", "session"], "An upstream rejected a call because the call's fencing number was stale.";
    CacheEventGap = 1606, Info, "cache_event_gap",
        ["upstream", "after", "before"], "Cache events of an engine were lost.";
    ReleasePending = 1607, Warn, "release_pending",
        ["upstream", "session", "error"], "The release of an ended program's session has not been confirmed yet.";
    SessionOrphaned = 1608, Warn, "session_orphaned",
        ["upstream", "session"], "An engine holds a session that belongs to no running program; the session is released.";
    CredentialUnreadable = 1609, Error, "credential_unreadable",
        ["upstream", "error"], "The credential file of an upstream could not be used.";
    LoadUnreadable = 1610, Warn, "load_unreadable",
        ["upstream", "error"], "The load of an upstream could not be read.";

    HistoryDiskFull = 1701, Error, "history_disk_full",
        ["path"], "The data folder has no space left for history.";
    HistoryDiskFailed = 1702, Error, "history_disk_failed",
        ["path", "error"], "History could not be written to the data folder.";
    HistoryCopyFailed = 1703, Warn, "history_copy_failed",
        ["slot", "daemon", "error"], "A copy of history could not be stored.";
    HistoryCopied = 1704, Info, "history_copied",
        ["slot", "daemon", "records"], "History was copied to another daemon.";
    HistorySealed = 1705, Debug, "history_sealed",
        ["slot", "epoch"], "A copy of a slot's history was sealed against appends from earlier epochs.";
    HistoryCut = 1706, Warn, "history_cut",
        ["path", "bytes"], "An incomplete record at the end of a history file was removed.";

    CreditHomeUnreachable = 1801, Warn, "credit_home_unreachable",
        ["workspace", "daemon"], "The daemon that grants a workspace's rate credit could not be reached.";
    CreditHomeReachable = 1802, Info, "credit_home_reachable",
        ["workspace", "daemon"], "The daemon that grants a workspace's rate credit is responding again.";
    WorkspaceOverRate = 1803, Info, "workspace_over_rate",
        ["workspace"], "A workspace exceeded its rate limit and burst.";

    SpansDropped = 1901, Warn, "spans_dropped",
        ["count"], "Trace spans were dropped because their queue was full or the writer had stopped.";
    SpanFileFailed = 1902, Error, "span_file_failed",
        ["path", "error"], "Trace spans could not be written.";
    OperatorRequest = 1903, Info, "operator_request",
        ["operator", "method", "path", "status"], "An operator's request was answered.";

    GatewayStarted = 2001, Info, "gateway_started",
        ["vm", "incarnation", "entry", "peers"], "The gateway has opened its listeners.";
    GatewayDraining = 2002, Info, "gateway_draining",
        ["vm", "in_flight"], "A graceful shutdown has started; callers are directed to other VMs.";
    GatewayStopped = 2003, Info, "gateway_stopped",
        ["vm", "in_flight", "drain_ms"], "The gateway is exiting.";
    GatewayReloaded = 2004, Info, "gateway_reloaded",
        ["changes"], "The settings file was reloaded.";
    ConnectionFailed = 2005, Debug, "connection_failed",
        ["peer", "error"], "A caller's connection ended with an error.";
    LinesDropped = 2006, Warn, "lines_dropped",
        ["count"], "Log lines were dropped because the output could not keep up.";

    PlanInForce = 2101, Info, "plan_in_force",
        ["version", "revision", "source", "routes", "workspaces", "resume_ms", "retention_ms", "outdated_ms"],
        "A version of the configuration took effect; `outdated_ms` is the time for which the VM has known that the one before was outdated.";
    PlanIgnored = 2102, Info, "plan_ignored",
        ["version", "in_force", "source"], "A version of the configuration older than the one in force was ignored.";
    PlanUnreadable = 2103, Error, "plan_unreadable",
        ["revision", "error"], "The configuration could not be read; the previous version stays in force.";
    ReplicaListed = 2104, Info, "replica_listed",
        ["replica", "service", "version", "address", "draining"], "A replica was added to the list of replicas or its entry changed.";
    ReplicaDelisted = 2105, Info, "replica_delisted",
        ["replica", "service", "address"], "A replica was removed from the list of replicas and receives no new work.";
    EntryUnreadable = 2106, Warn, "entry_unreadable",
        ["key", "error"], "An entry of the key-value service could not be decoded and was skipped.";
    FeedLost = 2107, Warn, "feed_lost",
        ["prefix", "call", "error", "revision"], "A prefix of the key-value service could not be read or watched.";
    FeedRegained = 2108, Info, "feed_regained",
        ["prefix", "revision", "outage_ms", "local"], "A prefix of the key-value service can be read and watched again; `local` if it answered other VMs in the meantime.";
    FeedGap = 2109, Warn, "feed_gap",
        ["revision"], "Changes under a prefix of the key-value service may have been missed; the whole prefix is read again.";
    VmHeard = 2110, Info, "vm_heard",
        ["vm", "incarnation", "serving"], "Another VM joined, restarted or is responding again.";
    VmSilent = 2111, Warn, "vm_silent",
        ["vm", "known", "silent"], "A VM is not responding and is left out of the VM list for callers.";
    RegistrationWritten = 2112, Info, "registration_written",
        ["vm", "lease", "revision"], "The VM is registered.";
    RegistrationFailed = 2113, Warn, "registration_failed",
        ["vm", "error"], "The VM could not be registered.";
    RetireAnswered = 2114, Info, "retire_answered",
        ["vm", "state"], "A request to retire a VM was answered.";

    WorkspaceRate = 2115, Debug, "workspace_rate",
        ["workspace", "version", "rate_per_s", "burst", "keys"], "A workspace's rate limit took effect.";
    VmLeft = 2116, Info, "vm_left",
        ["incarnation"], "Another VM left after a graceful shutdown.";

    ReplicaLeaving = 2117, Info, "replica_leaving",
        ["replica", "service", "draining", "request"],
        "A replica said in its response to `request` that it leaves, and receives no new work; `draining` is what its entry says.";
    OriginsRecorded = 2118, Info, "origins_recorded",
        ["versions", "before", "revision"],
        "The software versions that streams may have begun at were written to the key-value service.";

    LimitChanged = 2119, Info, "limit_changed",
        ["replica", "service", "per_s", "before", "source", "request"],
        "A replica named a limit of requests per second for all VMs together, or ended it (`per_s` is empty); `source` is the response to `request` or another VM.";

    ReplicaEnded = 2120, Warn, "replica_ended",
        ["replica", "service", "address", "in_flight", "request"],
        "A replica lost the connection of `request` and refuses new ones; the VM had `in_flight` requests there, without those that were cut before.";
    SuspectChanged = 2121, Info, "suspect_changed",
        ["fingerprint", "crashes", "before", "source", "replica", "request"],
        "`crashes` replicas have ended under requests with this fingerprint, one after the other; 0 if one was served since. `source` is the crash, the answer or the events that this VM saw, or another VM, the home of the suspects or the store.";
    CondemnedStored = 2122, Info, "condemned_stored",
        ["count", "revision"], "Requests that are refused because they have ended replicas were written to the key-value service.";
    EntriesUnreadable = 2123, Warn, "entries_unreadable",
        ["key", "error", "new", "count"], "Entries of replicas could not be decoded and were skipped: `count` in all, `new` of them since the last line, of which `key` is the first.";
    EvacuationChanged = 2124, Info, "evacuation_changed",
        ["domain", "evacuated", "revision", "source", "replicas", "running"],
        "The evacuation of a failure domain began or ended; `source` is the store or a peer, `replicas` the number of known replicas there (0 if the domain is unknown), `running` that of the VM's requests in flight there.";
    EvacuationIgnored = 2125, Warn, "evacuation_ignored",
        ["domain", "count", "revision"],
        "Names of evacuated domains were ignored because they are empty, too long or too many: `count` in all, of which `domain` is the first.";

    ReplicaCold = 2126, Info, "replica_cold",
        ["replica", "service", "left_ms", "source", "count", "request"],
        "`count` replicas, of which `replica` is the first, have become cold and get only granted requests; `source` is the list of replicas (entry), the response to `request` or another VM (peer).";
    DomainCold = 2127, Info, "domain_cold",
        ["domain", "replicas"],
        "Requests may be sent to a failure domain again; `replicas` of its replicas are cold from now on.";
    SpeedStepChanged = 2128, Info, "speed_step_changed",
        ["replica", "service", "step", "before", "changes"],
        "The learned speed of a replica moved to another step (0: that of the median, positive: faster); `changes` replicas changed in this round, of which at most 8 are logged.";
    SpeedsEnabled = 2129, Info, "speeds_enabled",
        ["service", "replica", "source"],
        "The choice of replicas of the service takes learned speeds into account from now on, since `replica` reported how long work takes on its machine; `source` is its response or another VM.";

    StoreLost = 2130, Warn, "store_lost",
        ["prefix", "call", "error"],
        "The key-value service refuses this VM's calls or answers them late; another VM reads it instead.";
    StoreServed = 2131, Info, "store_served",
        ["prefix", "lost_ms"], "The key-value service answers this VM's calls again, or the VM has not called it for some time.";

    PlanHeard = 2132, Info, "plan_heard",
        ["version", "in_force", "from"], "Another VM has a newer version of the configuration than all that this VM knew of.";
    StateFetched = 2133, Info, "state_fetched",
        ["part", "version", "from", "size", "elapsed_ms"], "A part of the state of another VM was fetched from it.";
    StateNotFetched = 2134, Warn, "state_not_fetched",
        ["part", "version", "from", "elapsed_ms", "error"], "A part of the state of another VM could not be fetched from it.";
    TasksLate = 2135, Warn, "tasks_late",
        ["late_ms", "in_flight"], "The tasks of this process run late: a gossip round began `late_ms` after it was due.";

    RequestEnded = 2201, Info, "request_ended",
        ["request", "program", "route", "workspace", "status", "reason", "replica", "sends",
            "granted_by", "plan", "plan_age_ms", "admitted_by", "home", "first_ms", "elapsed_ms"],
        "A request has ended.";
    AttemptFailed = 2202, Info, "attempt_failed",
        ["request", "fingerprint", "replica", "end", "progress", "next", "left_ms", "in_flight", "error"],
        "An attempt to serve a request at a replica failed; `fingerprint` is the hash of path, caller and body, `progress` whether it had brought events.";
    BudgetDecided = 2203, Debug, "budget_decided",
        ["program", "budget", "tokens", "verdict", "total"], "The VM that counts a program's token usage decided whether a call fits the program's budget.";
    BudgetSpent = 2204, Info, "budget_spent",
        ["request", "program", "budget", "tokens", "total"], "A call was refused because it would exceed its program's budget.";
    BudgetTakenOver = 2205, Info, "budget_taken_over",
        ["program", "epoch", "asked", "answered", "shares", "total", "needs_record", "uncertain"],
        "The VM took over the budget of a program, of which `answered` of `asked` VMs told what they know; where `needs_record`, another VM may still act as its home, and where `uncertain`, usage that another VM counted may be missing.";
    CeilingStored = 2206, Info, "ceiling_stored",
        ["program", "ceiling", "stored", "conflict"], "An attempt to store a program's token ceiling has ended; `stored` is its result, and `conflict` the ceiling of another home that was found instead.";
    RateRefused = 2207, Info, "rate_refused",
        ["request", "home", "stage", "cause", "used", "limit", "after_ms"],
        "A request or program was refused because it would exceed its workspace's rate limit or the limit could not be checked.";
    StreamResumed = 2208, Info, "stream_resumed",
        ["request", "resumes", "began", "replica", "version", "after"],
        "A stream goes on at a replica after event `after`, for the client attempt that began it (`resumes` is empty) or for a later one.";
    OriginDecided = 2209, Info, "origin_decided",
        ["request", "resumes", "known", "current", "recorded", "version", "refusal"],
        "At which software version a stream that a caller takes up may go on, or why it may not; `current` tells whether the list of replicas could be relied on, `recorded` the number of versions in the stored record, 0 if it was not read.";
    GrantDecided = 2210, Debug, "grant_decided",
        ["request", "service", "by", "home", "outcome", "after_ms", "cause"],
        "A home decided whether one of the limited replicas takes a request; `cause` tells whether they name a limit (`named`), are cold (`cold`), or there are both (`both`).";
    LimitRefused = 2211, Info, "limit_refused",
        ["request", "service", "limited", "by", "home", "after_ms", "cause"],
        "A request was refused because all replicas that could take it name a limit or are cold (`cause`) and none has room; the caller was told to return after `after_ms`.";

    CondemnedRefused = 2212, Warn, "condemned_refused",
        ["request", "fingerprint", "crashes", "age_ms", "after_ms"],
        "A request was refused because it has ended replicas, the last one `age_ms` ago; the caller was told to return after `after_ms`.";
    RunDecided = 2213, Debug, "run_decided",
        ["request", "fingerprint", "crashes", "replica", "home", "decision"],
        "A home decided whether a suspected request may be sent to a replica; `home` is empty if it is this VM.";
    BudgetRoleRefused = 2214, Info, "budget_role_refused",
        ["program", "epoch", "witness_epoch", "total_before", "total"],
        "The witness of a program's budget knows a later epoch of its home's role than `epoch`, or tokens that this VM did not count; it asks again before it grants.";
    TransfersEvicted = 2215, Info, "transfers_evicted",
        ["bodies", "responses", "size", "held", "capacity"],
        "Unfinished bodies of requests and responses that clients do not read lost their memory to a transfer that has made more progress and needs `size` bytes, or their place to a new connection (`size` 0); the requests were refused, the connections of the responses closed.";
    ConnectionsClosed = 2216, Info, "connections_closed",
        ["idle", "new", "open", "max"],
        "A listener had as many connections of clients as are allowed, and closed idle ones, or new ones where none was idle; the counts are those since the last line.";

    ChainAssembled = 2301, Info, "chain_assembled",
        ["request", "previous", "turns", "cached", "bytes", "elapsed_ms"],
        "The body of a turn was put together from the turns that it continues.";
    ChainRefused = 2302, Info, "chain_refused",
        ["request", "previous", "cause", "holders", "elapsed_ms"],
        "A turn was refused because the turn that it continues does not exist, can't be looked up or makes it too long.";
    TurnKept = 2303, Info, "turn_kept",
        ["request", "turn", "elapsed_ms"], "The copies of a turn are on disk, and its response may end.";
    TurnNotKept = 2304, Warn, "turn_not_kept",
        ["turn", "copies", "holders", "elapsed_ms"],
        "Not enough copies of a turn could be made; its response is cut before its end.";
    CopyRefused = 2305, Info, "copy_refused",
        ["turn", "holder", "reply"], "A holder did not store a copy of a turn; the next one in rank is asked.";
    HoldersChanged = 2306, Info, "holders_changed",
        ["holders", "digest"], "The list of registered holders changed.";
    HolderStarted = 2307, Info, "holder_started",
        ["vm", "generation", "turns", "damages", "whole", "elapsed_ms"], "The holder has read its disk and accepts requests.";
    HolderStopped = 2308, Info, "holder_stopped",
        ["vm", "turns"], "The holder is exiting.";
    HolderWhole = 2309, Info, "holder_whole",
        ["holders"], "All other holders have restored the turns that this holder should have.";
    DiskFailed = 2310, Error, "disk_failed",
        ["operation", "error"], "A disk operation failed; the turns of the request are not stored here.";
    PeerRepaired = 2311, Info, "peer_repaired",
        ["holder", "compared", "missing", "outcome"], "Turns that another holder lacked were sent to it.";
    PeerChanged = 2312, Info, "peer_changed",
        ["cause", "turns"], "The other holders changed, and all turns are compared again.";
    HolderRetiring = 2313, Info, "holder_retiring",
        ["vm", "left"], "The holder is being emptied: its turns are copied to other holders.";
}

impl LogEvent {
    /// Returns whether the event declares a field with this name.
    #[must_use]
    pub const fn has_field(self, name: &str) -> bool {
        let fields = self.get_fields();
        let mut index = 0;
        while index < fields.len() {
            if bytes_equal(fields[index].as_bytes(), name.as_bytes()) {
                return true;
            }
            index += 1;
        }
        false
    }
}

const fn bytes_equal(left: &[u8], right: &[u8]) -> bool {
    if left.len() != right.len() {
        return false;
    }
    let mut index = 0;
    while index < left.len() {
        if left[index] != right[index] {
            return false;
        }
        index += 1;
    }
    true
}

/// The name and value of an event field to record.
#[derive(Clone, Copy)]
pub struct EventField<'a> {
    name: &'static str,
    value: &'a dyn Display,
}

impl<'a> EventField<'a> {
    /// Creates a field with the given name and value.
    #[must_use]
    pub const fn new(name: &'static str, value: &'a dyn Display) -> Self {
        Self { name, value }
    }
}

impl fmt::Debug for EventField<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}={}", self.name, self.value)
    }
}

struct EventKeyValues<'a> {
    event: LogEvent,
    fields: &'a [EventField<'a>],
}

impl log::kv::Source for EventKeyValues<'_> {
    fn visit<'kvs>(
        &'kvs self,
        visitor: &mut dyn log::kv::VisitSource<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let number = log::kv::Value::from(self.event.get_number());
        visitor.visit_pair(log::kv::Key::from_str(EVENT_NUMBER_KEY), number)?;
        let name = log::kv::Value::from(self.event.get_name());
        visitor.visit_pair(log::kv::Key::from_str(EVENT_NAME_KEY), name)?;
        for field in self.fields {
            let value = log::kv::Value::from_dyn_display(field.value);
            visitor.visit_pair(log::kv::Key::from_str(field.name), value)?;
        }
        Ok(())
    }
}

/// Logs an event without checking its field names.
///
/// Use [`record_event!`](crate::record_event), which checks them at compile
/// time.
pub fn record_event_unchecked(event: LogEvent, fields: &[EventField<'_>]) {
    let level = event.get_level();
    if level > log::max_level() {
        return;
    }
    let key_values = EventKeyValues { event, fields };
    log::logger().log(
        &Record::builder()
            .level(level)
            .target(EVENT_TARGET)
            .args(format_args!("{}", event.get_message()))
            .key_values(&key_values)
            .build(),
    );
}

/// Logs an event of the catalogue with its fields.
///
/// A field that the event does not declare is a compile-time error.
///
/// ```
/// ibisdale_telemetry::record_event!(MemberDead, daemon = "vm-3");
/// ```
///
/// ```compile_fail
/// ibisdale_telemetry::record_event!(MemberDead, colour = "red");
/// ```
#[macro_export]
macro_rules! record_event {
    ($event:ident $(, $name:ident = $value:expr)* $(,)?) => {{
        $(const _: () = assert!(
            $crate::LogEvent::$event.has_field(stringify!($name)),
            "the log event does not declare this field",
        );)*
        $crate::record_event_unchecked(
            $crate::LogEvent::$event,
            &[$($crate::EventField::new(stringify!($name), &$value)),*],
        );
    }};
}
