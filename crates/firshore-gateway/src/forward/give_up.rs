//! Ends requests without a response from a back end.

use super::{BackendFailure, Forwarding, Handled, Interrupted, stop};
use crate::attempts::NextStep;
use crate::caller_connection::CallerConnection;
use crate::crash_monitor::ActiveQuarantine;
use crate::metrics::{ContinuationEnd, RequestEnd};
use crate::refusal::Refusal;
use firshore_crashes::suspect::Suspect;
use firshore_types::error::ErrorCode;
use slog::info;
use std::time::Duration;

/// Time after which a refused caller should retry.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The same where no back end in an allowed region is listed: only operators can change that.
const REGION_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Forwarding<'_> {
    pub(super) async fn give_up(
        &mut self,
        next: NextStep,
        reason: &'static str,
        connection: &mut CallerConnection,
    ) -> Handled {
        if self.progress.head_sent {
            if self.refusal_without_software().is_some() {
                let metrics = &self.gateway.metrics;
                metrics.continuation_ended(ContinuationEnd::NoBackend);
            }
            self.end = RequestEnd::BrokenOff;
            self.log_given_up(None, reason);
            return Handled::Close;
        }
        let refusal = match next {
            NextStep::PassOn | NextStep::SendAgain => match self.failure.take() {
                Some(failure) => {
                    let BackendFailure {
                        head,
                        body,
                        complete,
                    } = failure;
                    return self
                        .return_response(&head, body, complete, connection)
                        .await;
                }
                None => self.failed(),
            },
            NextStep::FailMaybeRun => self.failed(),
            NextStep::RefuseNotRun => {
                if let Some(refusal) = self.refusal_without_software() {
                    let metrics = &self.gateway.metrics;
                    metrics.continuation_ended(ContinuationEnd::NoBackend);
                    return self.answer_refusal(&refusal, reason, connection).await;
                }
                // No back end had a free slot. Counting it as pressure preempts batch items of the service.
                self.gateway.pressure.borrow_mut().refused(&self.service);
                self.refused_by_all()
            }
        };
        self.answer_refusal(&refusal, reason, connection).await
    }

    /// Returns the refusal of a request that no back end took.
    fn refused_by_all(&self) -> Refusal {
        let fleet = self.gateway.fleet.borrow();
        if self.residency.is_restricted() && !fleet.has_any(&self.service, &self.residency) {
            return Refusal::not_run(
                ErrorCode::NoAllowedRegion,
                format!("'{}' has no back end in an allowed region.", self.service),
                REGION_RETRY_AFTER,
            );
        }
        let message = format!("No back end of '{}' took the request.", self.service);
        Refusal::not_run(ErrorCode::NoBackend, message, RETRY_AFTER)
    }

    /// Refuses a quarantined request.
    pub(super) async fn refuse_quarantined(
        &mut self,
        quarantine: &ActiveQuarantine,
        connection: &mut CallerConnection,
    ) -> Handled {
        let ActiveQuarantine { suspect, time_left } = quarantine;
        let (reason, message) = match suspect {
            Suspect::Request(_) => (
                "request crashes back ends",
                "Back ends have ended each time that they ran this request.",
            ),
            Suspect::Part(_) => (
                "part of the prompt crashes back ends",
                "Back ends have ended each time that they ran a request with a part of this prompt.",
            ),
        };
        self.gateway.metrics.requests_quarantined.inc();
        info!(self.gateway.log, "forward: Quarantined."; "request" => &self.terms.id,
            "print" => %suspect, "reason" => reason, "wait_s" => time_left.as_secs());
        if self.attempts.may_have_run() {
            return self
                .give_up(NextStep::FailMaybeRun, reason, connection)
                .await;
        }
        let wait = Duration::from_secs(time_left.as_secs() + 1);
        let refusal = Refusal::not_run(ErrorCode::CrashesBackends, message, wait);
        self.answer_refusal(&refusal, reason, connection).await
    }

    pub(super) fn failed(&self) -> Refusal {
        let message = format!("The back end of '{}' gave no usable answer.", self.service);
        Refusal::maybe_run(ErrorCode::BackendFailed, message)
    }

    pub(super) async fn answer_refusal(
        &mut self,
        refusal: &Refusal,
        reason: &'static str,
        connection: &mut CallerConnection,
    ) -> Handled {
        self.end = match refusal.promises_not_run() {
            true => RequestEnd::Refused,
            false => RequestEnd::Failed,
        };
        self.log_given_up(Some(refusal), reason);
        let close = self.gateway.leaving.is_leaving();
        match refusal.write(connection, close).await {
            Ok(()) if connection.keeps_open() => Handled::KeepOpen,
            _ => Handled::Close,
        }
    }

    pub(super) fn log_given_up(&self, refusal: Option<&Refusal>, reason: &'static str) {
        let status = refusal.map_or(0, |refusal| refusal.status().as_u16());
        let last_send = self.last_send.as_ref();
        let sent_to = last_send.map(|send| send.backend.to_string());
        info!(self.gateway.log, "forward: Given up."; "request" => &self.terms.id,
            "route" => &self.route.name, "service" => %self.service, "reason" => reason,
            "backend" => sent_to, "status" => status, "sends" => self.attempts.sends(),
            "may_have_run" => self.attempts.may_have_run(), "age_ms" => self.age_ms(),
            "backends_age_ms" => self.gateway.freshness.backends.age_ms());
    }

    pub(super) async fn interrupted(
        &mut self,
        interrupted: Interrupted,
        connection: &mut CallerConnection,
    ) -> Handled {
        if interrupted == Interrupted::CallerLeft {
            self.end = RequestEnd::CallerLeft;
            self.log_given_up(None, "caller disconnected");
            return Handled::Close;
        }
        let stops = self.ends_before_deadline();
        let reason = match stops {
            true => stop::REASON,
            false => "deadline exceeded",
        };
        if self.progress.head_sent {
            self.end = RequestEnd::BrokenOff;
            self.log_given_up(None, reason);
            return Handled::Close;
        }
        let (code, message) = match stops {
            true => (
                ErrorCode::BackendFailed,
                "The node stopped before the request had ended.",
            ),
            false => (
                ErrorCode::DeadlineExceeded,
                "The time for the request is up.",
            ),
        };
        let refusal = match self.attempts.may_have_run() {
            true => Refusal::maybe_run(code, message),
            false => Refusal::not_run(ErrorCode::NoBackend, message, RETRY_AFTER),
        };
        self.answer_refusal(&refusal, reason, connection).await
    }
}
