//! Returns a back end's response to the caller: after reading it completely, or event by event.

use super::headers::end_to_end;
use super::{BackendFailure, Forwarding, Handled, Interrupted, SendResult, unless_interrupted};
use crate::answer_end::{AnswerEnd, CompleteAnswer, TextPosition};
use crate::attempts::SendEnd;
use crate::caller_connection::{CallerConnection, CallerDisconnected, ResponseAccount};
use crate::events::EventTracker;
use crate::fleet::BackendOutcome;
use actix_http::ResponseHead;
use actix_http::body::BodySize;
use actix_http::header::CONTENT_LENGTH;
use bytes::{Bytes, BytesMut};
use firshore_adapter::backend::{Backend, Ran};
use firshore_adapter::route::Repetition;
use firshore_exchange::exchange::{Exchange, ExchangeBody, ExchangeError};
use std::time::{Duration, Instant};

/// Maximum length of a response that is read completely before it is returned, in bytes.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Returns whether the status would tell the caller that the request did not run, which needs the back end's explicit
/// mark.
fn implies_not_run(head: &ResponseHead) -> bool {
    matches!(head.status.as_u16(), 408 | 421 | 429 | 503)
}

impl Forwarding<'_> {
    /// Reads a response completely and returns it, or returns it in chunks if it is too long or there is no memory for it.
    pub(super) async fn relay_whole(
        &mut self,
        backend: &Backend,
        mut exchange: Exchange,
        ran: Ran,
        connection: &mut CallerConnection,
    ) -> Result<SendResult, Interrupted> {
        let account = connection.response_account();
        let reading = read_up_to(&mut exchange.body, MAX_BUFFERED_BYTES, &account);
        let (body, whole) = match unless_interrupted(connection, self.deadline, reading).await? {
            Ok(read) => read,
            Err(error) => return Ok(self.lost(backend, &error)),
        };
        let complete = match whole {
            true => {
                let position = TextPosition::Unstructured;
                let confirming = self.confirm_end(backend, &exchange.body, position, connection);
                match confirming.await? {
                    Ok(complete) => Some(complete),
                    Err(error) => return Ok(self.lost(backend, &error)),
                }
            }
            false => None,
        };
        let head = exchange.head;
        if head.status.is_success() && ran != Ran::Yes {
            let error =
                ExchangeError::Lost("a success response without the mark of the back end".into());
            return Ok(self.lost(backend, &error));
        }
        let outcome = match head.status.is_server_error() {
            true => BackendOutcome::Failed,
            false => BackendOutcome::Answered,
        };
        self.gateway.record_outcome(&backend.incarnation, outcome);
        if implies_not_run(&head) {
            return Ok(SendResult::Ended(SendEnd::Lost));
        }
        let Some(complete) = complete else {
            let handled = self
                .relay_rest(backend, &head, body, exchange.body, connection)
                .await?;
            return Ok(SendResult::Handled(handled));
        };
        if head.status.is_server_error() {
            self.failure = Some(BackendFailure {
                head,
                body,
                complete,
            });
            return Ok(SendResult::Ended(SendEnd::Failed));
        }
        self.record_completion(&head, &complete);
        Ok(SendResult::Handled(
            self.return_response(&head, body, complete, connection)
                .await,
        ))
    }

    /// Determines whether a response whose body was read to its end is complete.
    async fn confirm_end(
        &self,
        backend: &Backend,
        body: &ExchangeBody,
        position: TextPosition,
        connection: &mut CallerConnection,
    ) -> Result<Result<CompleteAnswer, ExchangeError>, Interrupted> {
        let end = AnswerEnd {
            marked: body.end(),
            position,
        };
        let confirming = self.gateway.confirm_end(backend, &self.terms.id, end);
        unless_interrupted(connection, self.deadline, confirming).await
    }

    /// Records a complete response. A success clears the request of crashing back ends.
    fn record_completion(&self, head: &ResponseHead, proof: &CompleteAnswer) {
        if !head.status.is_success() {
            return;
        }
        let parts = || self.parts().to_vec();
        self.gateway
            .record_completion(proof, || self.fingerprint(), parts);
        // A run that resumes another one is shorter, and would distort the statistics.
        if self.attempts.sends() > 1 || self.terms.resume_after.is_some() {
            return;
        }
        let mut run_times = self.gateway.run_times.borrow_mut();
        run_times.record_answer(Instant::now(), &self.route.name);
        if let Some(send) = &self.last_send
            && let Some(began_after) = send.began_after
        {
            let rest = send.at.elapsed().saturating_sub(began_after);
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_served(&self.service, began_after, rest);
        }
    }

    /// Returns a response that was read completely.
    pub(super) async fn return_response(
        &self,
        head: &ResponseHead,
        body: Bytes,
        complete: CompleteAnswer,
        connection: &mut CallerConnection,
    ) -> Handled {
        self.response_begins();
        let size = BodySize::Sized(body.len() as u64);
        let close = self.gateway.leaving.is_leaving();
        connection.put_head(head.status, end_to_end(&head.headers), size, close);
        connection.put_chunk(body);
        connection.put_end(complete);
        self.finish_response(connection).await
    }

    pub(super) async fn finish_response(&self, connection: &mut CallerConnection) -> Handled {
        let limit = self.remaining() + Duration::from_secs(1);
        let flushed = tokio::time::timeout(limit, connection.flush()).await;
        match flushed {
            Ok(Ok(())) if connection.keeps_open() => Handled::KeepOpen,
            _ => Handled::Close,
        }
    }

    /// Returns a response in chunks, beginning with `start`.
    pub(super) async fn relay_rest(
        &mut self,
        backend: &Backend,
        head: &ResponseHead,
        start: Bytes,
        mut body: ExchangeBody,
        connection: &mut CallerConnection,
    ) -> Result<Handled, Interrupted> {
        self.put_stream_head(head, connection);
        self.progress.received += start.len() as u64;
        connection.put_chunk(start);
        loop {
            self.flush_stream(connection).await?;
            match unless_interrupted(connection, self.deadline, body.next()).await? {
                Ok(Some(chunk)) => {
                    self.progress.received += chunk.len() as u64;
                    connection.put_chunk(chunk);
                }
                Ok(None) => break,
                Err(error) => {
                    self.lost(backend, &error);
                    return Ok(Handled::Close);
                }
            }
        }
        let position = TextPosition::Unstructured;
        let confirming = self.confirm_end(backend, &body, position, connection);
        let complete = match confirming.await? {
            Ok(complete) => complete,
            Err(error) => {
                self.lost(backend, &error);
                return Ok(Handled::Close);
            }
        };
        self.record_completion(head, &complete);
        connection.put_end(complete);
        Ok(self.finish_response(connection).await)
    }

    pub(super) fn put_stream_head(
        &mut self,
        head: &ResponseHead,
        connection: &mut CallerConnection,
    ) {
        let mut headers = end_to_end(&head.headers);
        headers.remove(CONTENT_LENGTH);
        let close = self.gateway.leaving.is_leaving();
        connection.put_head(head.status, headers, BodySize::Stream, close);
        self.progress.head_sent = true;
        self.response_begins();
    }

    /// Returns events as they arrive.
    pub(super) async fn relay_stream(
        &mut self,
        backend: &Backend,
        mut exchange: Exchange,
        connection: &mut CallerConnection,
    ) -> Result<SendResult, Interrupted> {
        let mut tracker = EventTracker::default();
        let mut crashes_seen = None;
        loop {
            let chunk =
                match unless_interrupted(connection, self.deadline, exchange.body.next()).await? {
                    Ok(Some(chunk)) => chunk,
                    Ok(None) => break,
                    Err(error) => return Ok(self.stream_lost(backend, &error)),
                };
            self.gateway.record_activity(&backend.incarnation);
            self.progress.received += chunk.len() as u64;
            tracker.feed(&chunk);
            if tracker.complete() > 0 {
                self.progress.run_has_event = true;
                self.gateway
                    .record_begun(&mut crashes_seen, || self.parts().to_vec());
            }
            let events = match self.events_in(chunk) {
                Ok(events) => events,
                Err(error) => return Ok(self.stream_lost(backend, &error)),
            };
            if events.is_empty() {
                continue;
            }
            if !self.progress.head_sent {
                self.record_origin(backend, connection).await?;
                self.put_stream_head(&exchange.head, connection);
            }
            connection.put_chunk(events);
            self.flush_stream(connection).await?;
        }
        let position = TextPosition::from(&tracker);
        let confirming = self.confirm_end(backend, &exchange.body, position, connection);
        let complete = match confirming.await? {
            Ok(complete) => complete,
            Err(error) => return Ok(self.stream_lost(backend, &error)),
        };
        self.gateway
            .record_outcome(&backend.incarnation, BackendOutcome::Answered);
        self.record_completion(&exchange.head, &complete);
        self.forget_origin();
        if !self.progress.head_sent {
            self.put_stream_head(&exchange.head, connection);
        }
        connection.put_end(complete);
        Ok(SendResult::Handled(self.finish_response(connection).await))
    }

    pub(super) async fn flush_stream(
        &self,
        connection: &mut CallerConnection,
    ) -> Result<(), Interrupted> {
        let deadline = tokio::time::Instant::from_std(self.deadline);
        match tokio::time::timeout_at(deadline, connection.flush()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(CallerDisconnected)) => Err(Interrupted::CallerLeft),
            Err(_) => Err(Interrupted::TimedOut),
        }
    }

    /// Returns the part of the data that may be returned: only complete events if the stream can be resumed at another
    /// back end.
    pub(super) fn events_in(&mut self, chunk: Bytes) -> Result<Bytes, ExchangeError> {
        if self.route.repetition != Repetition::Resumable {
            return Ok(chunk);
        }
        let events = self.progress.events.feed(&chunk);
        events.map_err(|fault| ExchangeError::Lost(fault.to_string()))
    }

    pub(super) fn stream_lost(&mut self, backend: &Backend, error: &ExchangeError) -> SendResult {
        self.progress.events.discard_partial();
        self.lost(backend, error)
    }
}

/// Reads a body until it ends, exceeds `limit` bytes or can't be held. Returns whether it is complete.
async fn read_up_to(
    body: &mut ExchangeBody,
    limit: usize,
    account: &ResponseAccount,
) -> Result<(Bytes, bool), ExchangeError> {
    let Some(first) = body.next().await? else {
        return Ok((Bytes::new(), true));
    };
    let mut read = BytesMut::from(&first[..]);
    while let Some(chunk) = body.next().await? {
        read.extend_from_slice(&chunk);
        if read.len() > limit || !account.holds(read.len()) {
            return Ok((read.freeze(), false));
        }
    }
    Ok((read.freeze(), true))
}
