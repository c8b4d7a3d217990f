//! The ibisdale daemon.

fn main() {}
