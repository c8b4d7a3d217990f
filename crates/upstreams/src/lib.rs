//! HTTP clients for model engines and plain services.
