//! Generates the reference page from the key table.

use std::fmt::Write;

use crate::table::spec::{KeySpec, ValueKind, key_specs};
use crate::tree::SettingsSchema;

const INTRODUCTION: &str = "\
# Settings

Settings are INI files whose sections are paths. Lines starting with `;` are
comments. Names in paths consist of letters, digits, `-`, `_`, `.` and `:`.

`ibisdale check FILE` reports the errors in a file, each with its file and line.
This page is generated from the key table that the check uses.

## The operators' settings

One settings tree for the whole fleet. A section inherits the values of its
parent sections unless it overrides them: `rate = 5` in `[/workspaces]` applies
to every workspace that does not set `rate` itself. Keys marked *not inherited*
may be set only in the listed sections.

";

const DAEMON_INTRODUCTION: &str = "
## A daemon's settings file

`ibisdaled` reads this file at startup.

";

/// Limits of an entry VM, whose settings file is not in the format of the key table.
const VM_LIMITS: &str = "
## Limits of an entry VM

The platform writes the settings file of `ibisdale-vm`, in TOML. The other limits follow from
these:

| key or limit | default | meaning |
| --- | --- | --- |
| `limits.memory_mb` | `128` | Memory of the process, in MB. |
| cached turns | `limits.memory_mb` / 12 | Memory for recent turns. |
| memory for clients | 3/4 of what 20 MB for the process and the cached turns leave, at least 1/8 of `limits.memory_mb` | Bodies of requests, and responses until their clients have taken them. An eighth is reserved for bodies of at most 64 KiB. |
| held responses | 32 MiB, at most what bodies leave free | A response may hold half of it, the next one half of the rest. |
| `limits.max_fds` | `1024` | File descriptors of the process. |
| client connections | the lesser of `limits.max_fds` / 2 and 1/4 of what 20 MB and the cached turns leave, at 32 KB each; at least 16 | Connections on which clients send requests; above it, the one without a request for longest is closed, else one that lingers after a refusal, else one whose client has not read, or whose body has been without data, for a second or more, else the new one. |
| other connections | 1/8 of the client connections, plus 1 | The same for each of the listeners for readiness, directory and metrics. |
| connections of other VMs | 1/2 of the client connections, plus 1 | On an entry VM, transfers of the configuration and of the replicas; a VM with a disk has as many as the client connections. |
| pause in a body | 10 s | Longest time without data of a request's body; then it is refused with 408. |
| discarded after a refusal | 1 s and 16 MiB | What is still read of a refused request before its connection is closed. |
";

/// Limits of a daemon that follow from keys of its file.
const DAEMON_LIMITS: &str = "
## Limits of a daemon

`memory_mb` and `max_descriptors` of `/daemon` limit what clients may make `ibisdaled` hold, on all its
addresses:

| limit | default | meaning |
| --- | --- | --- |
| memory of the daemon itself | 1/4 of `memory_mb`, at least 24 MB | Settings, programs and connections to upstreams. |
| memory for clients | 3/4 of the rest, 288 MB | Bodies of requests, their parsed form, messages of other daemons, and responses until their clients have taken them. An eighth is reserved for bodies of at most 64 KiB. |
| connections of callers | the lesser of half of the descriptors and 1/4 of the rest of the memory at 32 KB each; 2,048, or 512 where the process may open 1,024 | Above it, connections are closed as on an entry VM. |
| connections of daemons | 1/2 of those of callers, plus 1 | Idle ones are closed for new ones and opened again when they are needed. |
| connections of operators | 1/8 of those of callers, plus 1 | The same. |

A body above 7/8 of the memory for clients is refused as `overloaded` each time; at the default that is
252 MB, while a caller's body has at most 4 MB and settings have at most 64 MB.
";

/// Renders the reference page of all settings as Markdown.
#[must_use]
pub fn render_reference() -> String {
    let mut page = INTRODUCTION.to_owned();
    write_table(&mut page, key_specs(SettingsSchema::Fleet));
    page.push_str(DAEMON_INTRODUCTION);
    write_table(&mut page, key_specs(SettingsSchema::Daemon));
    page.push_str(VM_LIMITS);
    page.push_str(DAEMON_LIMITS);
    page
}

fn write_table(page: &mut String, specs: &[KeySpec]) {
    page.push_str("| key | section | value | unit | default | meaning |\n");
    page.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for spec in specs {
        // Writing to a string cannot fail.
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} | {} | {} |",
            spec.name,
            describe_sections(spec),
            spec.kind.describe(),
            spec.unit.as_str(),
            describe_default(spec),
            spec.doc,
        );
    }
}

fn describe_sections(spec: &KeySpec) -> String {
    let sections: Vec<String> = spec
        .sections
        .iter()
        .map(|section| format!("`{}`", section.pattern()))
        .collect();
    let sections = sections.join(", ");
    if spec.is_inherited {
        return sections;
    }
    format!("{sections} (*not inherited*)")
}

fn describe_default(spec: &KeySpec) -> String {
    match spec.default {
        _ if spec.is_required => "*required*".to_owned(),
        None => "unset".to_owned(),
        Some("") => "empty".to_owned(),
        Some(text) => format!("`{text}`"),
    }
}

impl ValueKind {
    /// Describes the accepted values for the reference page.
    #[must_use]
    pub fn describe(self) -> String {
        match self {
            Self::Integer { min, max } => format!("whole number, {min} to {max}"),
            Self::Decimal { min, max } => format!("number, {min} to {max}"),
            Self::Flag => "`yes` or `no`".to_owned(),
            Self::Choice(words) => describe_choice(words),
            Self::Name => "name".to_owned(),
            Self::GroupName => "names joined by `/`".to_owned(),
            Self::References(kind) => format!("names of `{}`, separated by commas", kind.pattern()),
            Self::KeyHash => "`blake3:` followed by 64 hexadecimal digits".to_owned(),
            Self::FilePath => "path".to_owned(),
            Self::UrlPath => "URL path".to_owned(),
            Self::Address => "IP address and port".to_owned(),
            Self::Addresses => "IP addresses and ports, separated by commas".to_owned(),
        }
    }
}

fn describe_choice(words: &[&str]) -> String {
    let words: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    words.join(", ")
}
