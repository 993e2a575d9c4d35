//! Passes a back end's answer on: whole after it was read whole, or event by event.

use super::headers::end_to_end;
use super::{Forwarding, Handled, Interrupted, KeptFailure, Sent, guarded};
use crate::attempts::SendEnd;
use crate::caller_connection::{CallerConnection, CallerDisconnected};
use crate::fleet::BackendOutcome;
use actix_http::ResponseHead;
use actix_http::body::BodySize;
use actix_http::header::CONTENT_LENGTH;
use bytes::{Bytes, BytesMut};
use firshore_adapter::backend::{Backend, Ran};
use firshore_adapter::route::Repetition;
use firshore_exchange::exchange::{Exchange, ExchangeBody, ExchangeError};
use std::time::Duration;

/// Longest answer that is read whole before it is passed on, in bytes.
const BUFFERED_BYTES: usize = 1024 * 1024;

/// Whether a back end's status is a promise that only its own mark may give.
fn promises_not_run(head: &ResponseHead) -> bool {
    matches!(head.status.as_u16(), 408 | 421 | 429 | 503)
}

impl Forwarding<'_> {
    /// Reads an answer whole, then passes it on.
    pub(super) async fn relay_whole(
        &mut self,
        backend: &Backend,
        mut exchange: Exchange,
        ran: Ran,
        connection: &mut CallerConnection,
    ) -> Result<Sent, Interrupted> {
        let reading = read_up_to(&mut exchange.body, BUFFERED_BYTES);
        let (body, whole) = match guarded(connection, self.deadline, reading).await? {
            Ok(read) => read,
            Err(error) => return Ok(self.lost(backend, &error)),
        };
        let head = exchange.head;
        if head.status.is_success() && ran != Ran::Yes {
            let error =
                ExchangeError::Lost("a success that the back end does not vouch for".into());
            return Ok(self.lost(backend, &error));
        }
        let seen = match head.status.is_server_error() {
            true => BackendOutcome::Failed,
            false => BackendOutcome::Answered,
        };
        self.gateway.record_outcome(&backend.incarnation, seen);
        if promises_not_run(&head) {
            return Ok(Sent::Ended(SendEnd::Lost));
        }
        if head.status.is_server_error() && whole {
            self.failure = Some(KeptFailure { head, body });
            return Ok(Sent::Ended(SendEnd::Failed));
        }
        if whole {
            self.note_completed(&head);
            return Ok(Sent::Handled(self.pass_on(&head, body, connection).await));
        }
        let handled = self
            .relay_rest(backend, &head, body, exchange.body, connection)
            .await?;
        Ok(Sent::Handled(handled))
    }

    /// An answer came whole: where it is a success, the request does not crash back ends.
    fn note_completed(&self, head: &ResponseHead) {
        if !head.status.is_success() {
            return;
        }
        self.gateway.completed(|| self.print());
        // A run that went on where another broke off was shorter than others.
        if self.attempts.sends() > 1 || self.terms.resume_after.is_some() {
            return;
        }
        if let Some(send) = &self.last_send
            && let Some(began_after) = send.began_after
        {
            let rest = send.at.elapsed().saturating_sub(began_after);
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.served(&self.service, began_after, rest);
        }
    }

    /// Passes on an answer that was read whole.
    pub(super) async fn pass_on(
        &self,
        head: &ResponseHead,
        body: Bytes,
        connection: &mut CallerConnection,
    ) -> Handled {
        self.answer_begins();
        let size = BodySize::Sized(body.len() as u64);
        let close = self.gateway.leaving.is_leaving();
        connection.put_head(head.status, end_to_end(&head.headers), size, close);
        connection.put_chunk(body);
        connection.put_end();
        self.flushed(connection).await
    }

    pub(super) async fn flushed(&self, connection: &mut CallerConnection) -> Handled {
        let limit = self.remaining() + Duration::from_secs(1);
        let flushed = tokio::time::timeout(limit, connection.flush()).await;
        match flushed {
            Ok(Ok(())) if connection.keeps_open() => Handled::KeepOpen,
            _ => Handled::Close,
        }
    }

    /// Passes on an answer that is too long to be read whole first.
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
            if connection.flush().await.is_err() {
                return Err(Interrupted::CallerLeft);
            }
            match guarded(connection, self.deadline, body.next()).await? {
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
        self.note_completed(head);
        connection.put_end();
        Ok(self.flushed(connection).await)
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
        self.answer_begins();
    }

    /// Passes events on as they come.
    pub(super) async fn relay_stream(
        &mut self,
        backend: &Backend,
        mut exchange: Exchange,
        connection: &mut CallerConnection,
    ) -> Result<Sent, Interrupted> {
        loop {
            let chunk = match guarded(connection, self.deadline, exchange.body.next()).await? {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => return Ok(self.stream_broke(backend, &error)),
            };
            self.gateway.record_activity(&backend.incarnation);
            self.progress.received += chunk.len() as u64;
            let events = match self.events_in(chunk) {
                Ok(events) => events,
                Err(error) => return Ok(self.stream_broke(backend, &error)),
            };
            if events.is_empty() {
                continue;
            }
            if !self.progress.head_sent {
                self.put_stream_head(&exchange.head, connection);
            }
            connection.put_chunk(events);
            self.flush_stream(connection).await?;
        }
        if self.progress.events.has_partial() {
            let error = ExchangeError::Truncated;
            return Ok(self.stream_broke(backend, &error));
        }
        self.gateway
            .record_outcome(&backend.incarnation, BackendOutcome::Answered);
        self.note_completed(&exchange.head);
        if !self.progress.head_sent {
            self.put_stream_head(&exchange.head, connection);
        }
        connection.put_end();
        Ok(Sent::Handled(self.flushed(connection).await))
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

    /// What may be passed on of a chunk: whole events, where the stream may go on elsewhere.
    pub(super) fn events_in(&mut self, chunk: Bytes) -> Result<Bytes, ExchangeError> {
        if self.route.repetition != Repetition::Resumable {
            return Ok(chunk);
        }
        let events = self.progress.events.feed(&chunk);
        events.map_err(|fault| ExchangeError::Lost(fault.to_string()))
    }

    pub(super) fn stream_broke(&mut self, backend: &Backend, error: &ExchangeError) -> Sent {
        self.progress.events.discard_partial();
        self.lost(backend, error)
    }
}

/// Reads up to `limit` bytes; tells whether that is the whole body.
async fn read_up_to(body: &mut ExchangeBody, limit: usize) -> Result<(Bytes, bool), ExchangeError> {
    let Some(first) = body.next().await? else {
        return Ok((Bytes::new(), true));
    };
    let mut read = BytesMut::from(&first[..]);
    while let Some(chunk) = body.next().await? {
        read.extend_from_slice(&chunk);
        if read.len() > limit {
            return Ok((read.freeze(), false));
        }
    }
    Ok((read.freeze(), true))
}
