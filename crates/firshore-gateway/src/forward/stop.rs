//! Requests that a stopping node doesn't send or doesn't wait for, because they may not end before it stops.

use super::admit::ELSEWHERE_RETRY;
use super::{Forwarding, Handled, caller_deadline};
use crate::attempts::NextStep;
use crate::caller_connection::CallerConnection;
use crate::refusal::Refusal;
use firshore_adapter::route::Repetition;
use firshore_admission::admission::CapacityOutlook;
use firshore_admission::stop::{ExpectedEnd, LateRequest};
use firshore_types::error::ErrorCode;
use slog::info;
use std::time::{Duration, Instant};

/// Time before the stop at which a request that is still running is answered.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Reason that is logged for such a request.
pub(super) const REASON: &str = "node stops";

impl Forwarding<'_> {
    /// Returns the request as a late one if it may not be sent any more, because the node stops.
    pub(super) fn late_request(&self, outlook: Option<&CapacityOutlook>) -> Option<LateRequest> {
        let now = Instant::now();
        let node_stops_in = self.gateway.leaving.stops_in(now)?;
        let late = LateRequest {
            node_stops_in,
            time_left: self.caller_deadline().saturating_duration_since(now),
            is_repeatable: self.route.repetition != Repetition::AtMostOnce,
            expected: self.expected_end(now, outlook),
        };
        (!late.may_be_sent()).then_some(late)
    }

    fn caller_deadline(&self) -> Instant {
        caller_deadline(&self.request, &self.terms, &self.route)
    }

    /// Lets a request that a stopping node sends end before the stop, so that its caller gets an answer even if it takes
    /// longer than expected.
    pub(super) fn end_before_stop(&mut self) {
        let now = Instant::now();
        let Some(left) = self.gateway.leaving.stops_in(now) else {
            return;
        };
        if self.deadline > now + left {
            self.deadline = now + left.saturating_sub(ANSWER_TIME);
        }
    }

    /// Returns whether the node stops before the caller's deadline.
    pub(super) fn ends_before_deadline(&self) -> bool {
        self.deadline < self.caller_deadline()
    }

    /// Returns when the request is expected to end if it is sent now.
    fn expected_end(&self, now: Instant, outlook: Option<&CapacityOutlook>) -> Option<ExpectedEnd> {
        let begin_delay = match outlook {
            Some(outlook) => outlook.begin_delay,
            None => {
                self.outlook(now, &self.admission_request(false))?
                    .begin_delay
            }
        };
        let run_times = self.gateway.run_times.borrow();
        run_times.expected(now, &self.route.name, begin_delay)
    }

    /// Ends a request that may not be sent any more: refuses it if it has not run, so that another node runs it.
    pub(super) async fn refuse_before_stop(
        &mut self,
        late: LateRequest,
        connection: &mut CallerConnection,
    ) -> Handled {
        info!(self.gateway.log, "forward: May outlive the node."; "request" => &self.terms.id,
            "route" => &self.route.name, "may_have_run" => self.attempts.may_have_run(),
            "node_stops_in_ms" => late.node_stops_in.as_millis() as u64,
            "expected_ms" => late.expected.map(|end| end.within.as_millis() as u64),
            "answers" => late.expected.map(|end| end.answers),
            "time_left_ms" => late.time_left.as_millis() as u64, "repeatable" => late.is_repeatable);
        if self.attempts.may_have_run() {
            return self.give_up(NextStep::PassOn, REASON, connection).await;
        }
        let message = "The node may stop before the request has ended.";
        let refusal = Refusal::not_run(ErrorCode::Overloaded, message, ELSEWHERE_RETRY);
        self.answer_refusal(&refusal, REASON, connection).await
    }
}
