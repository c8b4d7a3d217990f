//! The callers' and operators' HTTP interface: parsing, authentication, routing and answers.
