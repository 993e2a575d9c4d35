//! The last word to a caller whose request gets no answer from a back end.

use super::{Forwarding, Handled, Interrupted};
use crate::attempts::Next;
use crate::caller_connection::CallerConnection;
use crate::metrics::RequestEnd;
use crate::refusal::Refusal;
use firshore_types::error::ErrorCode;
use slog::info;
use std::time::Duration;

/// Time after which a refused caller should come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);

impl Forwarding<'_> {
    pub(super) async fn give_up(
        &mut self,
        next: Next,
        reason: &'static str,
        connection: &mut CallerConnection,
    ) -> Handled {
        if self.progress.head_sent {
            self.end = RequestEnd::BrokenOff;
            self.log_given_up(None, reason);
            return Handled::Close;
        }
        let refusal = match next {
            Next::PassOn | Next::SendAgain => match self.failure.take() {
                Some(failure) => {
                    return self.pass_on(&failure.head, failure.body, connection).await;
                }
                None => self.failed(),
            },
            Next::FailMaybeRun => self.failed(),
            Next::RefuseNotRun => {
                // All back ends that it may go to have none to spare: items of the service give way.
                self.gateway.pressure.borrow_mut().refused(&self.service);
                Refusal::not_run(
                    ErrorCode::NoBackend,
                    format!("No back end of '{}' took the request.", self.service),
                    RETRY_AFTER,
                )
            }
        };
        self.answer_refusal(&refusal, reason, connection).await
    }

    /// Back ends end under the request: it goes to none of them any more, for as long as that is known.
    pub(super) async fn hold_back(
        &mut self,
        wait: Duration,
        connection: &mut CallerConnection,
    ) -> Handled {
        let reason = "back ends end under it";
        self.gateway.metrics.requests_condemned.inc();
        info!(self.gateway.log, "forward: Held back."; "request" => &self.terms.id,
            "print" => %self.print(), "wait_s" => wait.as_secs());
        if self.attempts.may_have_run() {
            return self.give_up(Next::FailMaybeRun, reason, connection).await;
        }
        let message = "Back ends have ended each time that they ran this request.";
        let wait = Duration::from_secs(wait.as_secs() + 1);
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
            "may_have_run" => self.attempts.may_have_run(), "age_ms" => self.age(),
            "backends_age_ms" => self.gateway.freshness.backends.age_ms());
    }

    pub(super) async fn interrupted(
        &mut self,
        interrupted: Interrupted,
        connection: &mut CallerConnection,
    ) -> Handled {
        if interrupted == Interrupted::CallerLeft {
            self.end = RequestEnd::CallerLeft;
            self.log_given_up(None, "caller left");
            return Handled::Close;
        }
        if self.progress.head_sent {
            self.end = RequestEnd::BrokenOff;
            self.log_given_up(None, "time is up");
            return Handled::Close;
        }
        let message = "The time for the request is up.";
        let refusal = match self.attempts.may_have_run() {
            true => Refusal::maybe_run(ErrorCode::DeadlineExceeded, message),
            false => Refusal::not_run(ErrorCode::NoBackend, message, RETRY_AFTER),
        };
        self.answer_refusal(&refusal, "time is up", connection)
            .await
    }
}
