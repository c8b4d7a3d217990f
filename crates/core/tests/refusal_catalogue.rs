//! Checks that `docs/REFUSALS.md` matches [`RefusalCode`].

use ibisdale_core::RefusalCode;

const PAGE: &str = include_str!("../../../docs/REFUSALS.md");

#[test]
fn docs_list_every_refusal_code_with_its_http_status() {
    let rows: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = RefusalCode::ALL
        .iter()
        .map(|code| format!("| `{}` | {} |", code.as_str(), code.http_status()))
        .collect();
    assert_eq!(rows.len(), expected.len());
    for (row, start) in rows.iter().zip(&expected) {
        assert!(row.starts_with(start.as_str()), "{row} against {start}");
    }
}
