//! Small stand-ins for the platform, model engines and plain services, for tests and demonstrations.
