//! Three-way merge of texts by lines.
//!
//! It preserves the operators' comments and layout when two changes of one text
//! are merged. A merge by lines can produce wrong rows, so the caller must
//! check that the rows of the result equal those of the merge by rows.

use std::ops::Range;

/// Maximum number of cells of the LCS table; a larger change becomes one hunk.
const MAX_LCS_CELLS: usize = 4_000_000;

/// A range of base lines and the lines that replace it.
#[derive(Debug, Eq, PartialEq)]
struct LineHunk<'t> {
    base: Range<usize>,
    lines: Vec<&'t str>,
}

/// Merges two changes of a base text, or returns `None` if they change the
/// same lines.
pub(super) fn merge_lines(base: &str, mine: &str, theirs: &str) -> Option<String> {
    let base_lines: Vec<&str> = base.lines().collect();
    let mut hunks = line_hunks(&base_lines, theirs);
    for hunk in line_hunks(&base_lines, mine) {
        if hunks.contains(&hunk) {
            continue;
        }
        if hunks.iter().any(|other| overlaps(&hunk.base, &other.base)) {
            return None;
        }
        hunks.push(hunk);
    }
    // The sort is stable: for the same base range, the lines of `theirs` come
    // first.
    hunks.sort_by_key(|hunk| (hunk.base.start, hunk.base.end));
    Some(apply_hunks(&base_lines, &hunks))
}

fn overlaps(hunk: &Range<usize>, other: &Range<usize>) -> bool {
    hunk.start < other.end && other.start < hunk.end
}

fn apply_hunks(base: &[&str], hunks: &[LineHunk<'_>]) -> String {
    let mut lines: Vec<&str> = Vec::new();
    let mut next = 0;
    for hunk in hunks {
        lines.extend(&base[next..hunk.base.start]);
        lines.extend(&hunk.lines);
        next = hunk.base.end;
    }
    lines.extend(&base[next..]);
    let mut text = lines.join("\n");
    text.push('\n');
    text
}

/// Returns the hunks that turn the base into the text.
fn line_hunks<'t>(base: &[&str], text: &'t str) -> Vec<LineHunk<'t>> {
    let lines: Vec<&str> = text.lines().collect();
    let prefix = common_prefix_length(base.iter(), lines.iter());
    let (base_rest, rest) = (&base[prefix..], &lines[prefix..]);
    let suffix = common_prefix_length(base_rest.iter().rev(), rest.iter().rev());
    let base_middle = &base_rest[..base_rest.len() - suffix];
    let middle = &rest[..rest.len() - suffix];
    if base_middle.is_empty() && middle.is_empty() {
        return Vec::new();
    }
    if base_middle.len().saturating_mul(middle.len()) > MAX_LCS_CELLS {
        let whole = LineHunk {
            base: prefix..prefix + base_middle.len(),
            lines: middle.to_vec(),
        };
        return vec![whole];
    }
    let hunks = lcs_hunks(prefix, base_middle, middle);
    hunks.into_iter().flat_map(split_hunk).collect()
}

/// Splits a hunk that replaces lines one to one into hunks of one line, so that
/// changes of adjacent lines don't conflict.
fn split_hunk(hunk: LineHunk<'_>) -> Vec<LineHunk<'_>> {
    if hunk.base.len() != hunk.lines.len() {
        return vec![hunk];
    }
    let pairs = hunk.base.zip(hunk.lines);
    let hunks = pairs.map(|(base_at, line)| LineHunk {
        base: base_at..base_at + 1,
        lines: vec![line],
    });
    hunks.collect()
}

fn common_prefix_length<'l>(
    base: impl Iterator<Item = &'l &'l str>,
    lines: impl Iterator<Item = &'l &'l str>,
) -> usize {
    base.zip(lines)
        .take_while(|(base, line)| base == line)
        .count()
}

/// Returns the hunks between the lines of a longest common subsequence (LCS).
fn lcs_hunks<'t>(offset: usize, base: &[&str], lines: &[&'t str]) -> Vec<LineHunk<'t>> {
    let lengths = lcs_lengths(base, lines);
    let width = lines.len() + 1;
    let mut hunks = Vec::new();
    let (mut base_at, mut line_at) = (0, 0);
    while base_at < base.len() || line_at < lines.len() {
        let (base_start, line_start) = (base_at, line_at);
        while base_at < base.len() || line_at < lines.len() {
            if base_at < base.len() && line_at < lines.len() && base[base_at] == lines[line_at] {
                break;
            }
            let cell = base_at * width + line_at;
            let skip_base = base_at < base.len()
                && (line_at == lines.len() || lengths[cell + width] >= lengths[cell + 1]);
            if skip_base {
                base_at += 1;
            } else {
                line_at += 1;
            }
        }
        if base_start < base_at || line_start < line_at {
            hunks.push(LineHunk {
                base: offset + base_start..offset + base_at,
                lines: lines[line_start..line_at].to_vec(),
            });
        }
        while base_at < base.len() && line_at < lines.len() && base[base_at] == lines[line_at] {
            base_at += 1;
            line_at += 1;
        }
    }
    hunks
}

/// Returns the LCS length of the suffixes that begin at each pair of
/// positions, in row-major order with one row for each base position.
fn lcs_lengths(base: &[&str], lines: &[&str]) -> Vec<u32> {
    let width = lines.len() + 1;
    let mut lengths = vec![0; (base.len() + 1) * width];
    for base_at in (0..base.len()).rev() {
        for line_at in (0..lines.len()).rev() {
            let cell = base_at * width + line_at;
            lengths[cell] = if base[base_at] == lines[line_at] {
                lengths[cell + width + 1] + 1
            } else {
                lengths[cell + width].max(lengths[cell + 1])
            };
        }
    }
    lengths
}
