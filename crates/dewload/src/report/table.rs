//! The report as a text table and as CSV.

use indexmap::IndexMap;

use super::{ClassReport, LatencyQuantiles, RunReport};

const COLUMNS: [&str; 21] = [
    "class",
    "sent",
    "completed",
    "in target",
    "attained %",
    "in burst %",
    "refused",
    "unknown",
    "broken",
    "wrong",
    "unreachable",
    "late starts",
    "tokens/s",
    "first p50",
    "first p95",
    "first p99",
    "gap p50",
    "gap p99",
    "whole p50",
    "whole p95",
    "whole p99",
];

/// Formats the report as a table with a row per class, followed by details and
/// the waste.
pub(crate) fn table_text(report: &RunReport) -> String {
    let mut rows = vec![COLUMNS.map(str::to_owned).to_vec()];
    rows.extend(report.classes.iter().map(class_cells));
    let mut text = align(&rows);
    for class in &report.classes {
        text.push_str(&detail_lines(class));
    }
    let waste = &report.waste;
    text.push_str(&format!(
        "{} servers, {} gone: {} tokens generated, {} wasted, {} cut off, {:.2} % not useful; \
         ran more than once: {} requests, {} keys; resumed: {}\n",
        waste.servers_asked,
        waste.servers_gone,
        waste.tokens_generated,
        waste.tokens_wasted,
        waste.tokens_cut_off,
        waste.not_useful_percent,
        waste.repeated_requests,
        waste.repeated_keys,
        waste.resumed_requests,
    ));
    text.push_str(&format!(
        "{:.1} s planned, {:.1} s until the last answer, seed {}\n",
        report.planned_seconds, report.elapsed_seconds, report.seed
    ));
    for fault in &report.failed_faults {
        text.push_str(&format!("fault failed: {fault}\n"));
    }
    text
}

/// Formats the table of classes as CSV, with latencies in milliseconds.
pub(crate) fn csv_text(report: &RunReport) -> String {
    let header = COLUMNS.map(|column| column.replace(' ', "_").replace('%', "percent"));
    let mut text = header.join(",") + "\n";
    for class in &report.classes {
        text.push_str(&class_cells(class).join(","));
        text.push('\n');
    }
    text
}

fn class_cells(class: &ClassReport) -> Vec<String> {
    let outcomes = &class.outcomes;
    let milliseconds = |value: f64| format!("{value:.1}");
    let [first, gap, whole] = [class.first_token, class.between_tokens, class.whole_answer];
    let LatencyQuantiles { p50_ms, p99_ms, .. } = gap;
    vec![
        class.class.replace(',', ";"),
        outcomes.sent.to_string(),
        outcomes.completed.to_string(),
        class.in_target.to_string(),
        format!("{:.2}", class.attainment_percent),
        class
            .attainment_in_burst_percent
            .map_or("-".to_owned(), |percent| format!("{percent:.2}")),
        total(&outcomes.refused).to_string(),
        total(&outcomes.unknown).to_string(),
        outcomes.broken.to_string(),
        outcomes.wrong.to_string(),
        outcomes.unreachable.to_string(),
        class.late_starts.to_string(),
        format!("{:.1}", class.goodput_tokens_per_second),
        milliseconds(first.p50_ms),
        milliseconds(first.p95_ms),
        milliseconds(first.p99_ms),
        milliseconds(p50_ms),
        milliseconds(p99_ms),
        milliseconds(whole.p50_ms),
        milliseconds(whole.p95_ms),
        milliseconds(whole.p99_ms),
    ]
}

/// Returns lines for the kinds of refused and unknown outcomes, and for repeats.
fn detail_lines(class: &ClassReport) -> String {
    let mut text = String::new();
    let details = [
        ("refused", &class.outcomes.refused),
        ("unknown", &class.outcomes.unknown),
        ("repeats refused", &class.repeats.refused),
        ("repeats unknown", &class.repeats.unknown),
    ];
    for (kind, counts) in details {
        for (reason, count) in counts {
            text.push_str(&format!("{}: {kind} {reason}: {count}\n", class.class));
        }
    }
    if class.repeats.sent > 0 {
        text.push_str(&format!(
            "{}: {} repeats, {} completed, {} wrong\n",
            class.class, class.repeats.sent, class.repeats.completed, class.repeats.wrong
        ));
    }
    text
}

fn total(counts: &IndexMap<String, u64>) -> u64 {
    counts.values().sum()
}

/// Aligns the cells of all rows in columns: the first column to the left, the
/// others to the right.
fn align(rows: &[Vec<String>]) -> String {
    let widths: Vec<usize> = (0..rows[0].len())
        .map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .enumerate()
            .map(|(column, (cell, width))| match column {
                0 => format!("{cell:<width$}"),
                _ => format!("{cell:>width$}"),
            })
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
