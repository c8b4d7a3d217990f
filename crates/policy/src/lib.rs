//! Scheduling decisions as plain functions over time passed in; performs no I/O.
