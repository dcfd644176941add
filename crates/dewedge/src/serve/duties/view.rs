//! Shows an operator who holds which duty, and the last reports and orders.

use std::fmt::Write as _;

use crate::clock::Moment;
use crate::format::PlatformFormat;

use super::super::state::EdgeState;
use super::DutyState;

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns the duties as a JSON document; without duties, its lists are empty.
    ///
    /// Ages are in ms and as this VM knows them.
    pub(crate) fn render_duties(&self) -> String {
        let Some(duties) = &self.duties else {
            return "{\"holders\":[],\"orders\":[],\"report\":null}\n".to_string();
        };
        format!(
            "{{\"holders\":[{}],\"orders\":[{}],\"report\":{}}}\n",
            render_holders(duties, self.now),
            render_orders(duties, self.now),
            render_report(duties),
        )
    }
}

fn render_holders<F: PlatformFormat>(duties: &DutyState<F>, now: Moment) -> String {
    let holders = duties.leases.holdings().map(|view| {
        let held = now.saturating_sub(view.since).as_millis();
        format!(
            "{{\"subject\":{},\"vm\":{},\"token\":{},\"held_ms\":{held},\"this_vm\":{}}}",
            quote(&view.subject.to_string()),
            quote(view.holder),
            view.token,
            view.own,
        )
    });
    holders.collect::<Vec<_>>().join(",")
}

fn render_orders<F: PlatformFormat>(duties: &DutyState<F>, now: Moment) -> String {
    let held = duties.orders.iter().filter(|(subject, _)| {
        let authority = duties.leases.authority(subject, now);
        authority.is_some()
    });
    let orders = held.map(|(subject, desk)| {
        let decision = desk.last_decision();
        format!(
            "{{\"subject\":{},\"regular\":{},\"interruptible\":{},\"decided_ms\":{},\"decision\":{}}}",
            quote(&subject.to_string()),
            decision.regular,
            decision.interruptible,
            now.saturating_sub(decision.at).as_millis(),
            quote(&decision.to_string()),
        )
    });
    orders.collect::<Vec<_>>().join(",")
}

fn render_report<F: PlatformFormat>(duties: &DutyState<F>) -> String {
    let stored = duties.usage.as_ref().and_then(|usage| usage.stored());
    let Some(report) = stored else {
        return "null".to_string();
    };
    let requests = report.total();
    format!(
        "{{\"window\":{},\"token\":{},\"workspaces\":{},\"requests\":{requests}}}",
        report.window,
        report.token,
        report.counts.len(),
    )
}

/// Returns a text as a JSON string.
fn quote(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    quoted.push('"');
    for character in text.chars() {
        match character {
            '"' | '\\' => quoted.extend(['\\', character]),
            character if character.is_control() => {
                // Writing to a `String` can't fail.
                let _ = write!(quoted, "\\u{:04x}", u32::from(character));
            }
            character => quoted.push(character),
        }
    }
    quoted.push('"');
    quoted
}
