//! Keys of the operators' settings.

use crate::table::spec::{KeySpec, ValueKind, ValueUnit, decimal, integer, key};
use crate::tree::SectionKind::{Key, Model, Program, Route, Scheduling, Service, Workspace};

const DAY_MS: u64 = 86_400_000;
const MAX_TOKENS: u64 = 1_000_000_000;
const MAX_COUNT: u64 = 1_000_000;
const MAX_DECIMAL_THOUSANDTHS: u64 = 1_000_000_000;

pub(crate) static FLEET_KEYS: &[KeySpec] = &[
    key(
        "rate",
        &[Workspace, Program],
        decimal(1, MAX_DECIMAL_THOUSANDTHS),
        "Rate limit of the workspace's requests or the program's starts, summed over all VMs.",
    )
    .unit(ValueUnit::RequestsPerSecond)
    .default("10"),
    key(
        "burst",
        &[Workspace, Program],
        integer(1, MAX_COUNT),
        "Requests of the workspace, or starts of the program, accepted at once after an idle period, summed over all VMs.",
    )
    .unit(ValueUnit::Requests)
    .default("20"),
    key(
        "weight",
        &[Workspace],
        decimal(1, 1_000_000),
        "Share of a saturated engine, relative to the other workspaces.",
    )
    .default("1"),
    key(
        "models",
        &[Workspace, Program],
        ValueKind::References(Model),
        "Models that may be called.",
    )
    .default(""),
    key(
        "services",
        &[Workspace, Program],
        ValueKind::References(Service),
        "Services that may be called.",
    )
    .default(""),
    key(
        "history_copies",
        &[Workspace],
        integer(0, 5),
        "Copies of each program's history, not counting that of the daemon that runs the program, each in a different failure domain.",
    )
    .unit(ValueUnit::Copies)
    .default("1"),
    key(
        "deadline_ms",
        &[Workspace, Program],
        integer(1, DAY_MS),
        "Time until the deadline of a program that does not set one.",
    )
    .unit(ValueUnit::Millis)
    .default("60000"),
    key(
        "max_deadline_ms",
        &[Workspace, Program],
        integer(1, DAY_MS),
        "Longest time until the deadline that a program may request.",
    )
    .unit(ValueUnit::Millis)
    .default("3600000"),
    key(
        "tokens",
        &[Workspace, Program],
        integer(0, MAX_TOKENS),
        "Token budget of a program that does not set one.",
    )
    .unit(ValueUnit::Tokens)
    .default("20000"),
    key(
        "max_tokens",
        &[Workspace, Program],
        integer(0, MAX_TOKENS),
        "Largest token budget that a program may request.",
    )
    .unit(ValueUnit::Tokens)
    .default("200000"),
    key(
        "paid_actions",
        &[Workspace, Program],
        integer(0, MAX_COUNT),
        "Budget of paid actions (calls of routes that are not idempotent) of a program that does not set one.",
    )
    .unit(ValueUnit::PaidActions)
    .default("0"),
    key(
        "max_paid_actions",
        &[Workspace, Program],
        integer(0, MAX_COUNT),
        "Largest budget of paid actions that a program may request.",
    )
    .unit(ValueUnit::PaidActions)
    .default("10"),
    key(
        "steps",
        &[Workspace, Program],
        integer(1, MAX_COUNT),
        "Step limit of a program that does not set one.",
    )
    .unit(ValueUnit::Steps)
    .default("20"),
    key(
        "max_steps",
        &[Workspace, Program],
        integer(1, MAX_COUNT),
        "Largest step limit that a program may request.",
    )
    .unit(ValueUnit::Steps)
    .default("100"),
    key(
        "wall_clock_ms",
        &[Workspace, Program],
        integer(1, DAY_MS),
        "Wall-clock limit of a program that does not set one.",
    )
    .unit(ValueUnit::Millis)
    .default("300000"),
    key(
        "max_wall_clock_ms",
        &[Workspace, Program],
        integer(1, DAY_MS),
        "Largest wall-clock limit that a program may request.",
    )
    .unit(ValueUnit::Millis)
    .default("3600000"),
    key(
        "hash",
        &[Key],
        ValueKind::KeyHash,
        "Hash of the key; the key itself is shown once, when it is granted.",
    )
    .not_inherited()
    .required(),
    key(
        "withdrawn",
        &[Key],
        ValueKind::Flag,
        "Whether the key is withdrawn; set on a workspace, it withdraws all keys of the workspace.",
    )
    .default("no"),
    key(
        "vm_group",
        &[Model, Service],
        ValueKind::GroupName,
        "Group in the platform's VM list with the replicas; `models/NAME` or `services/NAME` if unset.",
    ),
    key(
        "credential_file",
        &[Model, Service],
        ValueKind::FilePath,
        "File on each VM with the credential that is sent to the upstream.",
    ),
    key(
        "checks_fencing",
        &[Model],
        ValueKind::Flag,
        "Whether the engines reject commands with an outdated fencing number.",
    )
    .default("no"),
    key(
        "context_tokens",
        &[Model],
        integer(1, MAX_TOKENS),
        "Maximum context length of the model.",
    )
    .unit(ValueUnit::Tokens)
    .default("32768"),
    key(
        "resumes_streams",
        &[Model],
        ValueKind::Flag,
        "Whether the engines can resume an interrupted stream.",
    )
    .default("no"),
    key(
        "method",
        &[Route],
        ValueKind::Choice(&["GET", "POST", "PUT", "PATCH", "DELETE"]),
        "HTTP method.",
    )
    .default("POST"),
    key(
        "path",
        &[Route],
        ValueKind::UrlPath,
        "Request path at the upstream.",
    )
    .not_inherited()
    .required(),
    key(
        "idempotent",
        &[Route],
        ValueKind::Flag,
        "Whether calls may be retried; if not, they are paid actions.",
    )
    .default("no"),
    key(
        "open",
        &[Route],
        ValueKind::Flag,
        "Whether the route may be called without a key.",
    )
    .default("no"),
    key(
        "timeout_ms",
        &[Route],
        integer(1, DAY_MS),
        "Time limit of a call, including its wait in the queue.",
    )
    .unit(ValueUnit::Millis)
    .default("10000"),
    key(
        "profile",
        &[Scheduling],
        ValueKind::Choice(&["fairness", "latency"]),
        "Objective by which queued calls are ordered: max-min fairness between workspaces (`fairness`) or program latency (`latency`).",
    )
    .default("fairness"),
    key(
        "fairness_weight",
        &[Scheduling],
        decimal(0, 1_000_000),
        "Weight of a workspace's service deficit relative to its share; set by the profile if unset.",
    ),
    key(
        "progress_weight",
        &[Scheduling],
        decimal(0, 1_000_000),
        "Weight of a program's attained service; set by the profile if unset.",
    ),
    key(
        "deadline_weight",
        &[Scheduling],
        decimal(0, 1_000_000),
        "Weight of the time left until a program's deadline; set by the profile if unset.",
    ),
    key(
        "cache_weight",
        &[Scheduling],
        decimal(0, 1_000_000),
        "Weight of cached prefixes in replica selection; set by the profile if unset.",
    ),
];
