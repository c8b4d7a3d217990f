//! Checks that `docs/REFUSALS.md` matches [`RefusalCode`].

use ibisdale_core::RefusalCode;

const PAGE: &str = include_str!("../../../docs/REFUSALS.md");

#[test]
fn docs_list_every_refusal_code_with_its_http_status() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected_prefixes: Vec<String> = RefusalCode::ALL
        .iter()
        .map(|code| format!("| `{}` | {} |", code.as_str(), code.http_status()))
        .collect();
    assert_eq!(rows.len(), expected_prefixes.len());
    for (row, prefix) in rows.iter().zip(&expected_prefixes) {
        assert!(
            row.starts_with(prefix.as_str()),
            "row {row:?} does not start with {prefix:?}"
        );
    }
}
