//! A back end that answers each request as a script says, byte by byte.

use crate::adapter::{INCARNATION, LOAD, NOT_RUN, REQUEST_ID, RESUME_AFTER, SIGNATURE};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Events of a whole stream.
pub const EVENTS: u64 = 4;

/// Time between events.
const PACE: Duration = Duration::from_millis(2);

/// How one request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Play {
    /// With a whole answer, `answer of NAME`.
    Whole,
    /// With a whole answer that the back end does not vouch for.
    Unvouched,
    /// With a whole answer and a surplus one behind it, under the identifier of this request.
    Surplus,
    /// With a whole answer whose end only the close marks.
    ByClose,
    /// With half an answer.
    Half,
    /// With bytes that form no answer.
    Garbage,
    /// With a close.
    Closed,
    /// Not at all.
    Hangs,
    /// With its own failure (500).
    Fails,
    /// With a word that it can never be done (422).
    Impossible,
    /// With its mark that it did not run it.
    NotRun,
    /// As another incarnation.
    Misdirected,
    /// With a status that promises, but without its mark.
    FalsePromise,
    /// With a stream from where it is to start to the end.
    Events,
    /// With a stream that breaks inside the event after this one.
    Breaks(u64),
    /// With a stream that never gets beyond this event.
    Stalls(u64),
}

/// A request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Path.
    pub path: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

/// The back end.
pub struct ScriptedBackend {
    /// Identity.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    script: RefCell<VecDeque<Play>>,
    seen: RefCell<Vec<Seen>>,
    left: Cell<usize>,
    afterwards: Cell<Play>,
    /// What the data of its events begins with.
    text: RefCell<String>,
}

impl ScriptedBackend {
    /// Starts a back end that answers as `script` says, and as `afterwards` from then on.
    pub async fn start(name: &str, script: &[Play], afterwards: Play) -> Rc<Self> {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(anywhere, name, script, afterwards).await
    }

    /// Starts one where another process has listened.
    pub async fn start_at(
        address: SocketAddr,
        name: &str,
        script: &[Play],
        afterwards: Play,
    ) -> Rc<Self> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.expect("the port is free");
        let backend = Rc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().expect("the listener is bound"),
            script: RefCell::new(script.iter().copied().collect()),
            seen: RefCell::default(),
            left: Cell::new(0),
            afterwards: Cell::new(afterwards),
            text: RefCell::new("e".to_owned()),
        });
        let serving = backend.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serving.clone().serve(stream));
            }
        });
        backend
    }

    /// Sets what the data of its events begins with.
    pub fn set_text(&self, text: &str) {
        *self.text.borrow_mut() = text.to_owned();
    }

    /// Requests that arrived.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    /// Requests whose sender closed before the answer's end.
    pub fn left(&self) -> usize {
        self.left.get()
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream).await {
            let play = self.script.borrow_mut().pop_front();
            let play = play.unwrap_or(self.afterwards.get());
            self.seen.borrow_mut().push(request.clone());
            if !self.play(play, &request, &mut stream).await {
                return;
            }
        }
    }

    fn head(&self, status: &str, request: &Seen, more: &str) -> String {
        let id = request.headers.get(REQUEST_ID).cloned().unwrap_or_default();
        format!("HTTP/1.1 {status}\r\n{REQUEST_ID}: {id}\r\n{more}")
    }

    fn whole(&self, status: &str, request: &Seen, more: &str) -> String {
        let body = format!("answer of {}", self.name);
        let head = self.head(status, request, more);
        format!("{head}content-length: {}\r\n\r\n{body}", body.len())
    }

    /// Answers; tells whether the connection goes on.
    async fn play(&self, play: Play, request: &Seen, stream: &mut TcpStream) -> bool {
        let vouched = format!("{SIGNATURE}: s\r\n{LOAD}: 1,0,10\r\n");
        let (answer, keeps) = match play {
            Play::Whole => (self.whole("200 OK", request, &vouched), true),
            Play::Unvouched => (self.whole("200 OK", request, ""), true),
            Play::Surplus => (self.whole("200 OK", request, &vouched).repeat(2), true),
            Play::ByClose => {
                let head = self.head("200 OK", request, &vouched);
                (format!("{head}\r\nanswer of {}", self.name), false)
            }
            Play::Half => {
                let head = self.head("200 OK", request, &vouched);
                (format!("{head}content-length: 100\r\n\r\nhalf"), false)
            }
            Play::Garbage => ("\u{1}\u{2} no answer\r\n\r\n".to_owned(), false),
            Play::Closed => (String::new(), false),
            Play::Hangs => return self.wait_for_leaving(stream).await,
            Play::Fails => (self.whole("500 Failed", request, &vouched), true),
            Play::Impossible => (self.whole("422 Impossible", request, &vouched), true),
            Play::NotRun => {
                let mark = format!("{NOT_RUN}: 1\r\n");
                (self.whole("503 Full", request, &mark), true)
            }
            Play::Misdirected => (self.whole("421 Other", request, ""), true),
            Play::FalsePromise => (self.whole("503 Busy", request, ""), true),
            Play::Events => return self.stream(EVENTS, true, request, stream).await,
            Play::Breaks(after) => return self.stream(after, false, request, stream).await,
            Play::Stalls(after) => {
                self.events(after, request, stream).await;
                return self.wait_for_leaving(stream).await;
            }
        };
        stream.write_all(answer.as_bytes()).await.is_ok() && keeps
    }

    async fn wait_for_leaving(&self, stream: &mut TcpStream) -> bool {
        let _ = stream.read(&mut [0; 16]).await;
        self.left.set(self.left.get() + 1);
        false
    }

    async fn events(&self, last: u64, request: &Seen, stream: &mut TcpStream) -> bool {
        let held = request.headers.get(RESUME_AFTER);
        let first = held
            .and_then(|held| held.parse().ok())
            .map_or(1, |held: u64| held + 1);
        let head = self.head("200 OK", request, &format!("{SIGNATURE}: s\r\n"));
        let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let mut sent = stream.write_all(head.as_bytes()).await.is_ok();
        for number in first..=last {
            let event = format!("id: {number}\ndata: {}{number}\n\n", self.text.borrow());
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            sent = sent && stream.write_all(chunk.as_bytes()).await.is_ok();
            actix_rt::time::sleep(PACE).await;
        }
        sent
    }

    async fn stream(&self, last: u64, whole: bool, request: &Seen, stream: &mut TcpStream) -> bool {
        if !self.events(last, request, stream).await {
            self.left.set(self.left.get() + 1);
            return false;
        }
        let end = match whole {
            true => "0\r\n\r\n",
            false => "7\r\nid: 99\n",
        };
        stream.write_all(end.as_bytes()).await.is_ok() && whole
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Seen> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(text).ok()?;
    let mut lines = text.lines();
    let path = lines.next()?.split(' ').nth(1)?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(": "));
    let headers: HashMap<String, String> = headers
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length");
    let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(Seen {
        path,
        headers,
        body,
    })
}

impl Seen {
    /// The incarnation that the request was meant for.
    pub fn meant_for(&self) -> &str {
        self.headers.get(INCARNATION).map_or("", String::as_str)
    }
}
