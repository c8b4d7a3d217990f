//! The ibisdale command.

fn main() {}
