//! A three-way merge of texts by lines.
//!
//! It keeps the operators' comments and layout when two changes of one text
//! are joined. Its result is a proposal: the caller checks that the rows are
//! as the row merge says.

use std::ops::Range;

/// Most cells of the comparison table; a larger change counts as one hunk.
const MAX_CELLS: usize = 4_000_000;

/// Lines of the base that a change replaces.
#[derive(Debug, Eq, PartialEq)]
struct LineHunk<'t> {
    base: Range<usize>,
    lines: Vec<&'t str>,
}

/// Joins two changes of a base text; `None` if they touch the same lines.
pub(super) fn merge_lines(base: &str, mine: &str, theirs: &str) -> Option<String> {
    let base_lines: Vec<&str> = base.lines().collect();
    let mut hunks = line_hunks(&base_lines, theirs);
    for hunk in line_hunks(&base_lines, mine) {
        if hunks.contains(&hunk) {
            continue;
        }
        if hunks
            .iter()
            .any(|other| intersects(&hunk.base, &other.base))
        {
            return None;
        }
        hunks.push(hunk);
    }
    // The sort is stable: at one place, the lines of `theirs` go first.
    hunks.sort_by_key(|hunk| (hunk.base.start, hunk.base.end));
    Some(apply_hunks(&base_lines, &hunks))
}

fn intersects(hunk: &Range<usize>, other: &Range<usize>) -> bool {
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

/// Lists the changed runs of lines between a base and a text.
fn line_hunks<'t>(base: &[&str], text: &'t str) -> Vec<LineHunk<'t>> {
    let lines: Vec<&str> = text.lines().collect();
    let prefix = common_length(base.iter(), lines.iter());
    let (base_rest, rest) = (&base[prefix..], &lines[prefix..]);
    let suffix = common_length(base_rest.iter().rev(), rest.iter().rev());
    let base_middle = &base_rest[..base_rest.len() - suffix];
    let middle = &rest[..rest.len() - suffix];
    if base_middle.is_empty() && middle.is_empty() {
        return Vec::new();
    }
    if base_middle.len().saturating_mul(middle.len()) > MAX_CELLS {
        let whole = LineHunk {
            base: prefix..prefix + base_middle.len(),
            lines: middle.to_vec(),
        };
        return vec![whole];
    }
    let hunks = middle_hunks(prefix, base_middle, middle);
    hunks.into_iter().flat_map(split_hunk).collect()
}

/// Cuts a hunk that replaces line by line, so that neighbouring lines can be
/// changed on both sides.
fn split_hunk(hunk: LineHunk<'_>) -> Vec<LineHunk<'_>> {
    if hunk.base.len() != hunk.lines.len() {
        return vec![hunk];
    }
    let pairs = hunk.base.zip(hunk.lines);
    let hunks = pairs.map(|(at, line)| LineHunk {
        base: at..at + 1,
        lines: vec![line],
    });
    hunks.collect()
}

fn common_length<'l>(
    base: impl Iterator<Item = &'l &'l str>,
    lines: impl Iterator<Item = &'l &'l str>,
) -> usize {
    base.zip(lines)
        .take_while(|(base, line)| base == line)
        .count()
}

/// Walks a longest common subsequence and gathers what lies between.
fn middle_hunks<'t>(offset: usize, base: &[&str], lines: &[&'t str]) -> Vec<LineHunk<'t>> {
    let lengths = common_lengths(base, lines);
    let width = lines.len() + 1;
    let mut hunks = Vec::new();
    let (mut at, mut line) = (0, 0);
    while at < base.len() || line < lines.len() {
        let (start, first) = (at, line);
        while at < base.len() || line < lines.len() {
            if at < base.len() && line < lines.len() && base[at] == lines[line] {
                break;
            }
            let cell = at * width + line;
            let skip_base = at < base.len()
                && (line == lines.len() || lengths[cell + width] >= lengths[cell + 1]);
            if skip_base {
                at += 1;
            } else {
                line += 1;
            }
        }
        if start < at || first < line {
            hunks.push(LineHunk {
                base: offset + start..offset + at,
                lines: lines[first..line].to_vec(),
            });
        }
        while at < base.len() && line < lines.len() && base[at] == lines[line] {
            at += 1;
            line += 1;
        }
    }
    hunks
}

/// Returns the length of the longest common subsequence from each pair of
/// positions on, row by row of the base.
fn common_lengths(base: &[&str], lines: &[&str]) -> Vec<u32> {
    let width = lines.len() + 1;
    let mut lengths = vec![0; (base.len() + 1) * width];
    for at in (0..base.len()).rev() {
        for line in (0..lines.len()).rev() {
            let cell = at * width + line;
            lengths[cell] = if base[at] == lines[line] {
                lengths[cell + width + 1] + 1
            } else {
                lengths[cell + width].max(lengths[cell + 1])
            };
        }
    }
    lengths
}
