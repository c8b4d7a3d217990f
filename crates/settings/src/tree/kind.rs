//! Kinds of sections and their nesting.

/// Determines which sections and keys a settings file may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsSchema {
    /// The operators' settings, one tree for the whole fleet.
    Fleet,
    /// The settings file of a single daemon.
    Daemon,
}

/// The kind of a section, which determines the keys that it may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKind {
    /// `/`
    Root,
    /// `/scheduling`
    Scheduling,
    /// `/models`
    Models,
    /// `/models/NAME`
    Model,
    /// `/services`
    Services,
    /// `/services/NAME`
    Service,
    /// `/services/NAME/routes`
    Routes,
    /// `/services/NAME/routes/NAME`
    Route,
    /// `/workspaces`
    Workspaces,
    /// `/workspaces/NAME`
    Workspace,
    /// `/workspaces/NAME/keys`
    Keys,
    /// `/workspaces/NAME/keys/NAME`
    Key,
    /// `/workspaces/NAME/programs`
    Programs,
    /// `/workspaces/NAME/programs/NAME`
    Program,
    /// `/daemon`, in a daemon's settings file
    Daemon,
    /// `/platform`, in a daemon's settings file
    Platform,
    /// `/log`, in a daemon's settings file
    Log,
    /// `/trace`, in a daemon's settings file
    Trace,
}

impl SectionKind {
    /// Returns the section's path with `NAME` as the placeholder for names that operators
    /// choose.
    #[must_use]
    pub const fn pattern(self) -> &'static str {
        match self {
            Self::Root => "/",
            Self::Scheduling => "/scheduling",
            Self::Models => "/models",
            Self::Model => "/models/NAME",
            Self::Services => "/services",
            Self::Service => "/services/NAME",
            Self::Routes => "/services/NAME/routes",
            Self::Route => "/services/NAME/routes/NAME",
            Self::Workspaces => "/workspaces",
            Self::Workspace => "/workspaces/NAME",
            Self::Keys => "/workspaces/NAME/keys",
            Self::Key => "/workspaces/NAME/keys/NAME",
            Self::Programs => "/workspaces/NAME/programs",
            Self::Program => "/workspaces/NAME/programs/NAME",
            Self::Daemon => "/daemon",
            Self::Platform => "/platform",
            Self::Log => "/log",
            Self::Trace => "/trace",
        }
    }

    /// Returns the kind of the parent section.
    #[must_use]
    pub const fn parent(self) -> Option<Self> {
        match self {
            Self::Root => None,
            Self::Scheduling
            | Self::Models
            | Self::Services
            | Self::Workspaces
            | Self::Daemon
            | Self::Platform
            | Self::Log
            | Self::Trace => Some(Self::Root),
            Self::Model => Some(Self::Models),
            Self::Service => Some(Self::Services),
            Self::Routes => Some(Self::Service),
            Self::Route => Some(Self::Routes),
            Self::Workspace => Some(Self::Workspaces),
            Self::Keys | Self::Programs => Some(Self::Workspace),
            Self::Key => Some(Self::Keys),
            Self::Program => Some(Self::Programs),
        }
    }

    /// Returns whether this kind is `other` or one of its descendants.
    #[must_use]
    pub fn is_within(self, other: Self) -> bool {
        self == other || self.parent().is_some_and(|parent| parent.is_within(other))
    }

    /// Returns whether the last segment of the path is a name that operators choose.
    #[must_use]
    pub fn is_named(self) -> bool {
        self.pattern().ends_with("NAME")
    }

    /// Returns the kind of the child section `segment`, if the schema has one.
    pub(crate) fn child(self, segment: &str, schema: SettingsSchema) -> Option<Self> {
        match (self, segment) {
            (Self::Root, _) => Self::top_level(segment, schema),
            (Self::Models, _) => Some(Self::Model),
            (Self::Services, _) => Some(Self::Service),
            (Self::Service, "routes") => Some(Self::Routes),
            (Self::Routes, _) => Some(Self::Route),
            (Self::Workspaces, _) => Some(Self::Workspace),
            (Self::Workspace, "keys") => Some(Self::Keys),
            (Self::Workspace, "programs") => Some(Self::Programs),
            (Self::Keys, _) => Some(Self::Key),
            (Self::Programs, _) => Some(Self::Program),
            _ => None,
        }
    }

    fn top_level(segment: &str, schema: SettingsSchema) -> Option<Self> {
        match (schema, segment) {
            (SettingsSchema::Fleet, "scheduling") => Some(Self::Scheduling),
            (SettingsSchema::Fleet, "models") => Some(Self::Models),
            (SettingsSchema::Fleet, "services") => Some(Self::Services),
            (SettingsSchema::Fleet, "workspaces") => Some(Self::Workspaces),
            (SettingsSchema::Daemon, "daemon") => Some(Self::Daemon),
            (SettingsSchema::Daemon, "platform") => Some(Self::Platform),
            (SettingsSchema::Daemon, "log") => Some(Self::Log),
            (SettingsSchema::Daemon, "trace") => Some(Self::Trace),
            _ => None,
        }
    }
}
