//! The operators' settings tree: parsing, inheritance, checks with findings, typed snapshots and differences.
