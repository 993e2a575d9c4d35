//! A back end that answers each request as a script says, byte by byte.

use crate::adapter::{INCARNATION, LOAD, NOT_RUN, PROMPT, REQUEST_ID, RESUME_AFTER, SIGNATURE};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

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
    /// With a body that is framed and cut as described.
    Cut(Cut),
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Marking {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// By the close of the connection.
    Close,
}

/// Where a body is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Nowhere: the body is whole.
    Nowhere,
    /// In the head.
    Head,
    /// Behind the head.
    BeforeBody,
    /// In an event, or in the middle of a body without events.
    Inside,
    /// In a character of an event.
    Character,
    /// In the blank line that ends an event.
    BlankLine,
    /// Between two events.
    Between,
    /// In the size of a chunk, in front of its line break.
    ChunkSize,
    /// In an event; the back end marks the end as if the body were whole.
    InsideButMarked,
}

/// How a connection ends behind a body that was cut, or that only the close ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// Orderly; the back end serves on.
    Orderly,
    /// Orderly for this direction only; the back end serves on.
    Half,
    /// By a reset; the back end serves on.
    Reset,
    /// Orderly, as the process exits: it no longer listens.
    Exit,
}

/// What a body holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// A stream of events.
    Events,
    /// A text, behind this number of spaces.
    Text(usize),
}

/// A body that is framed and cut in a certain way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// How its end is marked.
    pub marking: Marking,
    /// Where it is cut.
    pub place: Place,
    /// How the connection ends.
    pub closing: Closing,
    /// What the body holds.
    pub content: Content,
}

/// The back end exits as its answer begins.
const EXIT: Play = Play::Cut(Cut {
    marking: Marking::Chunks,
    place: Place::BeforeBody,
    closing: Closing::Exit,
    content: Content::Events,
});

/// Events in front of a cut.
pub const EVENTS_BEFORE_CUT: u64 = 2;

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
    /// Part of a prompt under which it exits.
    fatal_part: Cell<Option<u64>>,
    exited: Notify,
    /// Whether connections stay open behind a body that was cut, or that only the close ends.
    holds_ends: Cell<bool>,
    ends_released: Notify,
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
            fatal_part: Cell::new(None),
            exited: Notify::new(),
            holds_ends: Cell::new(false),
            ends_released: Notify::new(),
        });
        let serving = backend.clone();
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    () = serving.exited.notified() => return,
                };
                if let Ok((stream, _)) = accepted {
                    actix_rt::spawn(serving.clone().serve(stream));
                }
            }
        });
        backend
    }

    /// Sets what the data of its events begins with.
    pub fn set_text(&self, text: &str) {
        *self.text.borrow_mut() = text.to_owned();
    }

    /// Lets it exit when it begins to answer a request with this part in its prompt.
    pub fn set_fatal_part(&self, part: u64) {
        self.fatal_part.set(Some(part));
    }

    /// Keeps connections open behind bodies that are cut, or that only the close ends, until
    /// [`Self::release_ends`].
    pub fn hold_ends(&self) {
        self.holds_ends.set(true);
    }

    /// Ends the connections that were kept open.
    pub fn release_ends(&self) {
        self.holds_ends.set(false);
        self.ends_released.notify_waiters();
    }

    /// Stops listening, as a process that exits does. Its connections stay open.
    pub async fn stop_listening(&self) {
        self.exited.notify_waiters();
        // The listener is dropped by its own task.
        actix_rt::task::yield_now().await;
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
            let play = match self.fatal_part.get() {
                Some(part) if request.has_part(part) => EXIT,
                _ => play.unwrap_or(self.afterwards.get()),
            };
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
            Play::Cut(cut) => return self.cut(cut, request, stream).await,
        };
        stream.write_all(answer.as_bytes()).await.is_ok() && keeps
    }

    /// Answers with a body that is cut as described; tells whether the connection goes on.
    async fn cut(&self, cut: Cut, request: &Seen, stream: &mut TcpStream) -> bool {
        let pieces = match cut.content {
            Content::Events => self.event_pieces(cut.place, request),
            Content::Text(padding) => self.text_pieces(cut.place, padding),
        };
        let is_whole = matches!(cut.place, Place::Nowhere | Place::InsideButMarked);
        let sent: usize = pieces.iter().map(Vec::len).sum();
        let marking = match cut.marking {
            Marking::Length if is_whole => format!("content-length: {sent}\r\n"),
            Marking::Length => format!("content-length: {}\r\n", sent + 100),
            Marking::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Marking::Close => String::new(),
        };
        let head = self.head("200 OK", request, &format!("{SIGNATURE}: s\r\n{marking}"));
        if cut.place == Place::Head {
            let _ = stream.write_all(head.as_bytes()).await;
            return self.close(cut.closing, stream).await;
        }
        let _ = stream.write_all(format!("{head}\r\n").as_bytes()).await;
        for piece in pieces {
            let piece = match cut.marking {
                Marking::Chunks => chunk(&piece),
                Marking::Length | Marking::Close => piece,
            };
            let _ = stream.write_all(&piece).await;
            actix_rt::time::sleep(PACE).await;
        }
        let end: &[u8] = match (cut.marking, cut.place) {
            (Marking::Chunks, Place::Nowhere | Place::InsideButMarked) => b"0\r\n\r\n",
            (Marking::Chunks, Place::ChunkSize) => b"1",
            _ => b"",
        };
        let _ = stream.write_all(end).await;
        if is_whole && cut.marking != Marking::Close {
            return true;
        }
        self.wait_for_release().await;
        self.close(cut.closing, stream).await
    }

    async fn wait_for_release(&self) {
        let released = self.ends_released.notified();
        if self.holds_ends.get() {
            released.await;
        }
    }

    /// Returns the pieces of a stream up to where it is cut.
    fn event_pieces(&self, place: Place, request: &Seen) -> Vec<Vec<u8>> {
        let held = request.headers.get(RESUME_AFTER);
        let first = held.map_or(1, |held| held.parse::<u64>().map_or(1, |held| held + 1));
        let last = match place {
            Place::Nowhere => EVENTS,
            Place::Head | Place::BeforeBody => 0,
            _ => EVENTS_BEFORE_CUT,
        };
        let mut pieces: Vec<Vec<u8>> = (first..=last).map(|number| self.event(number)).collect();
        let next = self.event(last.max(first - 1) + 1);
        let text = next.len() - self.text.borrow().len() - "3\n\n".len();
        match place {
            Place::Inside | Place::InsideButMarked => pieces.push(next[..text - 3].to_vec()),
            Place::Character => pieces.push([&next[..text], &"é".as_bytes()[..1]].concat()),
            Place::BlankLine => pieces.push(next[..next.len() - 1].to_vec()),
            _ => {}
        }
        pieces
    }

    /// Returns the pieces of a body without events up to where it is cut.
    fn text_pieces(&self, place: Place, padding: usize) -> Vec<Vec<u8>> {
        let text = format!("{}answer of {}", " ".repeat(padding), self.name);
        let text = text.into_bytes();
        match place {
            Place::Nowhere => vec![text],
            Place::Head | Place::BeforeBody => Vec::new(),
            _ => vec![text[..text.len() - 5].to_vec()],
        }
    }

    fn event(&self, number: u64) -> Vec<u8> {
        format!("id: {number}\ndata: {}{number}\n\n", self.text.borrow()).into_bytes()
    }

    /// Ends a connection; returns `false`, as it carries no further request.
    async fn close(&self, closing: Closing, stream: &mut TcpStream) -> bool {
        match closing {
            Closing::Orderly => {}
            Closing::Half => {
                let _ = stream.shutdown().await;
                return self.wait_for_leaving(stream).await;
            }
            Closing::Reset => {
                let _ = stream.set_zero_linger();
            }
            Closing::Exit => self.stop_listening().await,
        }
        false
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
            let event = chunk(&self.event(number));
            sent = sent && stream.write_all(&event).await.is_ok();
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

fn chunk(piece: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat()
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
    /// Returns whether a part is in the prompt.
    fn has_part(&self, part: u64) -> bool {
        let prompt = self.headers.get(PROMPT).map_or("", String::as_str);
        prompt.split(',').any(|found| found.parse() == Ok(part))
    }

    /// The incarnation that the request was meant for.
    pub fn meant_for(&self) -> &str {
        self.headers.get(INCARNATION).map_or("", String::as_str)
    }
}
