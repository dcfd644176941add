//! Makes the calls to the platform's API that the duties of this VM need.
//!
//! One call is in progress at a time. Reports go before orders, except after a report
//! that failed, and the orders of several data centres take turns, so that none keeps
//! the others from being sent.

use std::time::Duration;

use dewduty::lease::{DutySubject, LeaseEvent};

use crate::api::{ApiResult, DutyApiCall};
use crate::clock::{self, Moment};
use crate::format::{ApiCall, ApiResponse, PlatformFormat};

use super::super::state::EdgeState;
use super::DutyState;
use super::holding::duty_name;

/// Time after which a call without a response is given up. The authority of a call
/// outlasts it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a call that the API didn't answer or found to be one too many.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

impl<F: PlatformFormat> EdgeState<F> {
    /// Makes the next call that is due, if this VM may.
    pub(super) fn call_api(&mut self, duties: &mut DutyState<F>) {
        if !duties.api.is_free() || duties.api_pause_until > self.now {
            return;
        }
        let Some((subject, call)) = self.next_api_call(duties) else {
            return;
        };
        // The time of this iteration of the loop may be long past by now.
        let now = clock::now();
        let Some(authority) = duties.leases.begin_call(&subject, now) else {
            if let ApiCall::OrderServers {
                count,
                interruptible,
                ..
            } = call
            {
                // The planner waits for a result; nothing was sent.
                let result = Ok(ApiResponse::Throttled);
                self.on_order_answered(duties, &subject, (count, interruptible), result);
            }
            return;
        };
        let call = DutyApiCall {
            subject,
            token: authority.token,
            call,
        };
        let deadline = (now + CALL_TIMEOUT).min(authority.valid_until);
        duties.api.send(&self.registry, call, now, deadline);
    }

    fn next_api_call(&mut self, duties: &mut DutyState<F>) -> Option<(DutySubject, ApiCall)> {
        if std::mem::take(&mut duties.orders_first)
            && let Some(order) = self.next_order_call(duties)
        {
            return Some(order);
        }
        if let Some(report) = self.next_usage_call(duties) {
            return Some((DutySubject::Usage, ApiCall::ReportUsage(report)));
        }
        self.next_order_call(duties)
    }

    /// Handles an I/O event on the connection to the API.
    pub(crate) fn on_api_event(&mut self, closing: bool) {
        self.with_duties(|state, duties| {
            // The event may be the first chance to send the call.
            if let Some(result) = duties.api.on_event(closing, clock::now()) {
                state.apply_api_result(duties, result);
            }
        });
        self.run_duties();
    }

    pub(super) fn expire_api_call(&mut self, duties: &mut DutyState<F>) {
        if let Some(result) = duties.api.expire(self.now) {
            self.apply_api_result(duties, result);
        }
    }

    fn apply_api_result(&mut self, duties: &mut DutyState<F>, result: ApiResult) {
        let ApiResult {
            call,
            took,
            response,
        } = result;
        let subject = call.subject.clone();
        duties.leases.end_call(&subject);
        let event = match response {
            Ok(ApiResponse::Failed(_)) | Err(_) => LeaseEvent::ApiFailed { subject },
            Ok(_) => LeaseEvent::ApiAnswered { subject },
        };
        duties.leases.apply(event, self.now);
        let is_report = call.subject == DutySubject::Usage;
        let outcome = outcome_name(response);
        self.metrics
            .count_api_call(duty_name(&call.subject), outcome);
        self.log_api_call(&call, outcome, response, took);
        if matches!(
            response,
            Ok(ApiResponse::Failed(_) | ApiResponse::Throttled) | Err(_)
        ) {
            duties.api_pause_until = self.now + RETRY_PAUSE;
            duties.orders_first = is_report;
        }
        match call.call {
            ApiCall::ReportUsage(report) => self.on_usage_reported(duties, &report, response),
            ApiCall::OrderServers {
                count,
                interruptible,
                ..
            } => self.on_order_answered(duties, &call.subject, (count, interruptible), response),
        }
    }

    fn log_api_call(
        &mut self,
        call: &DutyApiCall,
        outcome: &str,
        response: Result<ApiResponse, &'static str>,
        took: Moment,
    ) {
        let status = match response {
            Ok(ApiResponse::Failed(status) | ApiResponse::Rejected(status)) => status,
            _ => 0,
        };
        let line = self
            .logs
            .system("duty", "called")
            .text("subject", &call.subject.to_string())
            .number("token", call.token)
            .text("outcome", outcome)
            .number("status", status)
            .ms("took_ms", took);
        match &call.call {
            ApiCall::ReportUsage(report) => {
                let total = report.total();
                let workspaces = report.counts.len() as u64;
                line.number("window", report.window)
                    .number("requests", total)
                    .number("workspaces", workspaces);
            }
            ApiCall::OrderServers {
                count,
                interruptible,
                ..
            } => {
                line.number("servers", *count)
                    .number("interruptible", *interruptible);
            }
        }
    }
}

fn outcome_name(response: Result<ApiResponse, &'static str>) -> &'static str {
    match response {
        Ok(ApiResponse::Accepted) => "accepted",
        Ok(ApiResponse::Unavailable) => "unavailable",
        Ok(ApiResponse::Throttled) => "throttled",
        Ok(ApiResponse::Failed(_)) => "failed",
        Ok(ApiResponse::Rejected(_)) => "rejected",
        Err(reason) => reason,
    }
}
