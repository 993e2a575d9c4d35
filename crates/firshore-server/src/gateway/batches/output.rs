//! Output of a job as JSON lines, streamed page by page and resumable by position.

use crate::journal;
use crate::shared::Shared;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use firshore_batch::job::NamedResult;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::{ItemIndex, JobId};
use futures_util::Stream;
use serde::Serialize;
use serde_json::value::RawValue;
use std::sync::Arc;

/// Most lines fetched from the journal at once.
const PAGE_LINES: u32 = 1_000;

/// Which lines a reader wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lines {
    /// Every result.
    All,
    /// Results that are errors.
    Errors,
}

/// What a reader asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutputRequest {
    job: JobId,
    position: u32,
    limit: u32,
    lines: Lines,
}

#[derive(Serialize)]
struct OutputLine<'a> {
    id: String,
    position: u32,
    index: ItemIndex,
    custom_id: &'a str,
    response: OutputResponse<'a>,
    error: Option<&'a RawValue>,
}

#[derive(Serialize)]
struct OutputResponse<'a> {
    status_code: u16,
    body: &'a RawValue,
}

impl OutputRequest {
    /// Reads `from=POSITION` and `limit=LINES` from a query.
    pub fn parse(job: JobId, query: &str, lines: Lines) -> Result<Self, ApiError> {
        let number = |name: &str, default: u32| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut value = pairs
                .filter(|(key, _)| *key == name)
                .map(|(_, value)| value);
            let parsed = value.next().map_or(Ok(default), str::parse);
            parsed.map_err(|_| {
                let message = format!("'{name}' is not a whole number.");
                ApiError::not_run(ErrorCode::InvalidRequest, message)
            })
        };
        Ok(Self {
            job,
            position: number("from", 0)?,
            limit: number("limit", u32::MAX)?,
            lines,
        })
    }
}

/// The lines that are committed by now, from the wanted position on. A page that cannot be read
/// breaks the answer off, so that it does not look whole.
pub async fn stream(
    shared: &Arc<Shared>,
    request: OutputRequest,
) -> Result<Response<BoxBody>, ApiError> {
    let first = Page::read(shared, &request).await?;
    let pages = pages(shared.clone(), request, first);
    Ok(Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/jsonl"))
        .body(BodyStream::new(pages))
        .map_into_boxed_body())
}

struct Page {
    text: String,
    lines: u32,
    next: u32,
    last: bool,
}

impl Page {
    async fn read(shared: &Shared, request: &OutputRequest) -> Result<Self, ApiError> {
        let count = match request.lines {
            Lines::All => request.limit.min(PAGE_LINES),
            Lines::Errors => PAGE_LINES,
        };
        let job = request.job.clone();
        let results = journal::results(shared, job, request.position, count).await?;
        let mut page = Self {
            text: String::new(),
            lines: 0,
            next: request.position,
            last: results.is_empty(),
        };
        for result in results {
            page.next = result.position + 1;
            if request.lines == Lines::Errors && result.result.is_success() {
                continue;
            }
            if page.lines == request.limit {
                page.last = true;
                break;
            }
            page.lines += 1;
            page.text.push_str(&line(&request.job, &result));
        }
        Ok(page)
    }
}

fn line(job: &JobId, result: &NamedResult) -> String {
    let body: &RawValue = serde_json::from_str(&result.result.body).unwrap_or(RawValue::NULL);
    let line = OutputLine {
        id: format!("{job}_{}", result.index),
        position: result.position,
        index: result.index,
        custom_id: &result.custom_id,
        response: OutputResponse {
            status_code: result.result.status,
            body,
        },
        error: (!result.result.is_success()).then_some(body),
    };
    let mut text = serde_json::to_string(&line).expect("output serialises");
    text.push('\n');
    text
}

fn pages(
    shared: Arc<Shared>,
    request: OutputRequest,
    first: Page,
) -> impl Stream<Item = Result<Bytes, ApiError>> {
    let start = Some((shared, request, Some(first)));
    futures_util::stream::unfold(start, |state| async move {
        let (shared, mut request, ready) = state?;
        let page = match ready {
            Some(page) => Ok(page),
            None => Page::read(&shared, &request).await,
        };
        let page = match page {
            Ok(page) => page,
            Err(error) => return Some((Err(error), None)),
        };
        if page.last && page.text.is_empty() {
            return None;
        }
        request.position = page.next;
        request.limit -= page.lines;
        let more = !page.last && request.limit > 0;
        let bytes = Bytes::from(page.text);
        Some((Ok(bytes), more.then_some((shared, request, None))))
    })
}
