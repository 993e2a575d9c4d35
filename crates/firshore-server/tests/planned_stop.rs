//! Planned stops of node processes: no request is cut off, and the process exits with 0.

mod support;

use firshore_config::proposal::Proposal;
use firshore_lab::stand_in::platform::Platform;
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::parse_declarations;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::{
    BackEnd, DONE, Reply, STREAM_HEAD, chunk, completion, event, events, eventually, put,
};
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_firshore");

/// A node process; killed when dropped.
struct NodeProcess {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
    _folder: TempDir,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    fn start(platform: &Platform) -> Self {
        let folder = TempDir::new().unwrap();
        let address = platform.server.address.to_string();
        let settings = folder.path().join("node.toml");
        let text = support::settings_text(folder.path(), &address, "");
        std::fs::write(&settings, text).unwrap();
        let mut child = Command::new(PROGRAM)
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        let address = |word: &str| {
            let position = words.iter().position(|one| *one == word).unwrap();
            words[position + 1].parse().unwrap()
        };
        Self {
            callers: address("callers"),
            admin: address("admin"),
            child,
            _folder: folder,
        }
    }

    fn is_ready(&self) -> bool {
        let mut stream = support::connect(self.admin);
        put(&mut stream, &support::request("GET /readyz", "", ""));
        Reply::read(&mut stream).status() == 200
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status().unwrap();
        assert!(status.success());
    }

    fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the node exits", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

/// A platform with the test's configuration before it is applied, and a node that serves it.
fn start(engine: SocketAddr) -> (Platform, NodeProcess) {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap()).unwrap();
    platform.set_machines(vec![support::machine(0, engine)]);
    let node = NodeProcess::start(&platform);
    let proposal = Proposal {
        change_id: ChangeId::from("test"),
        author: "test".to_owned(),
        base: Revision(0),
        upserts: parse_declarations("test", &support::declarations()).unwrap(),
        removals: Vec::new(),
    };
    let body = serde_json::to_string(&proposal).unwrap();
    eventually("the configuration is accepted", || {
        let mut stream = support::connect(node.admin);
        put(
            &mut stream,
            &support::request("POST /configuration", "", &body),
        );
        Reply::read(&mut stream).status() == 200
    });
    eventually("the node is ready", || node.is_ready());
    eventually("a request is answered", || {
        let mut stream = support::connect(node.callers);
        put(&mut stream, &completion("", true));
        Reply::read(&mut stream).status() == 200
    });
    (platform, node)
}

/// An engine whose answers take so many pauses of 100 ms.
fn streaming(tokens: u64) -> BackEnd {
    BackEnd::start(move |stream, _, _| {
        put(stream, STREAM_HEAD);
        for token in 0..tokens {
            put(stream, &chunk(&event(token)));
            std::thread::sleep(Duration::from_millis(100));
        }
        put(stream, &(chunk(DONE) + "0\r\n\r\n"));
        true
    })
}

/// Callers that ask without end; counts whole answers and names the others.
fn callers(
    address: SocketAddr,
    tokens: u64,
) -> (Arc<AtomicBool>, Vec<std::thread::JoinHandle<usize>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let threads = (0..6).map(|number: u64| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let mut whole = 0;
            std::thread::sleep(Duration::from_millis(70 * number));
            while !stop.load(Ordering::Relaxed) {
                // A refused connection was no request.
                let Ok(mut stream) = std::net::TcpStream::connect(address) else {
                    break;
                };
                put(&mut stream, &completion("", true));
                let reply = Reply::read(&mut stream);
                let expected = (events(0..tokens) + DONE, true);
                assert_eq!(reply.chunks(), expected, "cut off: {reply:?}");
                whole += 1;
            }
            whole
        })
    });
    let threads = threads.collect();
    (stop, threads)
}

fn no_request_is_cut_off(tokens: u64, ask_to_leave: impl Fn(&NodeProcess)) {
    let engine = streaming(tokens);
    let (_platform, mut node) = start(engine.address);
    let (stop, threads) = callers(node.callers, tokens);
    std::thread::sleep(Duration::from_secs(1));
    ask_to_leave(&node);
    let status = node.exit();
    stop.store(true, Ordering::Relaxed);
    let whole: usize = threads.into_iter().map(|one| one.join().unwrap()).sum();
    assert!(whole >= 6, "{whole} answers");
    assert_eq!(status.code(), Some(0));
}

#[test]
fn a_terminated_node_cuts_off_no_request() {
    // Longer than the grace, so that answers outlast the closing of the listener.
    no_request_is_cut_off(25, NodeProcess::terminate);
}

#[test]
fn a_drained_node_cuts_off_no_request() {
    no_request_is_cut_off(3, |node| {
        let status = Command::new(PROGRAM)
            .args(["drain", "--node", &node.admin.to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    });
}

#[test]
fn a_second_signal_ends_a_node_at_once() {
    let count = Arc::new(AtomicUsize::new(0));
    let counting = count.clone();
    let engine = BackEnd::start(move |stream, _, number| {
        put(stream, STREAM_HEAD);
        if number > 0 {
            counting.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(Duration::from_secs(600));
        }
        put(stream, &(chunk(DONE) + "0\r\n\r\n"));
        true
    });
    let (_platform, mut node) = start(engine.address);
    let mut caller = support::connect(node.callers);
    put(&mut caller, &completion("", true));
    eventually("a request runs", || count.load(Ordering::Relaxed) == 1);
    node.terminate();
    std::thread::sleep(Duration::from_secs(3));
    assert!(node.child.try_wait().unwrap().is_none(), "waits for it");
    let start = Instant::now();
    node.terminate();
    assert_eq!(node.exit().code(), Some(1));
    assert!(start.elapsed() < support::PATIENCE);
}
