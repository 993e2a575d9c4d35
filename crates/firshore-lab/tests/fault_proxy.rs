//! Each fault of the proxy, against a server that echoes.

use firshore_lab::fault_proxy::command::control;
use firshore_lab::fault_proxy::{
    Cut, CutKind, DirectionFaults, FaultProxy, ProxyFaults, ProxyHost, ProxyStatistics,
};
use firshore_lab::http::Call;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(200);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Echoes what it reads and tells the test of it.
fn echo() -> (SocketAddr, mpsc::Receiver<Vec<u8>>) {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut buffer = [0; 4096];
                while let Ok(length) = stream.read(&mut buffer) {
                    if length == 0 || stream.write_all(&buffer[..length]).is_err() {
                        return;
                    }
                    let _ = sender.send(buffer[..length].to_vec());
                }
            });
        }
    });
    (address, receiver)
}

struct Setting {
    proxy: FaultProxy,
    seen: mpsc::Receiver<Vec<u8>>,
    _host: ProxyHost,
}

fn setting() -> Setting {
    let (upstream, seen) = echo();
    let host = ProxyHost::start(1).unwrap();
    let proxy = host.add(any_port(), upstream).unwrap();
    Setting {
        proxy,
        seen,
        _host: host,
    }
}

fn connect(proxy: &FaultProxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn ask(stream: &mut TcpStream, text: &str) -> std::io::Result<String> {
    stream.write_all(text.as_bytes())?;
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer)?;
    Ok(String::from_utf8(answer).unwrap())
}

fn until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn without_faults_bytes_pass_and_ends_are_passed_on() {
    let setting = setting();
    let mut stream = connect(&setting.proxy);
    assert_eq!(ask(&mut stream, "hello").unwrap(), "hello");
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
    until("the connection ends", || {
        setting.proxy.statistics().open == 0
    });
    let statistics = setting.proxy.statistics();
    assert_eq!((statistics.request_bytes, statistics.answer_bytes), (5, 5));
    assert_eq!((statistics.accepted, statistics.cut), (1, 0));
}

#[test]
fn delay_and_bandwidth_cost_at_least_their_time() {
    let setting = setting();
    let mut stream = connect(&setting.proxy);
    setting.proxy.set(ProxyFaults::delay(60_000, 10_000));
    let start = Instant::now();
    ask(&mut stream, "hello").unwrap();
    assert!(start.elapsed() >= Duration::from_millis(120));
    let slow = DirectionFaults {
        bytes_per_second: Some(10_000),
        ..DirectionFaults::default()
    };
    setting.proxy.set(ProxyFaults {
        answers: slow,
        ..ProxyFaults::default()
    });
    let start = Instant::now();
    ask(&mut stream, &"x".repeat(2000)).unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
}

#[test]
fn cuts_end_a_connection_at_the_byte() {
    let cases = [
        (CutKind::Reset, 3, Some(ErrorKind::ConnectionReset)),
        (CutKind::Close, 3, None),
        (CutKind::Close, 0, None),
    ];
    for (kind, after_bytes, error) in cases {
        let setting = setting();
        let mut stream = connect(&setting.proxy);
        ask(&mut stream, "before").unwrap();
        let mut faults = ProxyFaults::cut_answers(after_bytes, kind);
        faults.cuts = Some(1);
        setting.proxy.set(faults);
        stream.write_all(b"hello").unwrap();
        let mut answer = Vec::new();
        let result = stream.read_to_end(&mut answer);
        assert_eq!(result.err().map(|error| error.kind()), error);
        if error.is_none() {
            assert_eq!(answer, b"hello"[..after_bytes as usize]);
        }
        let before = setting.seen.recv_timeout(PATIENCE).unwrap();
        let cut_off = setting.seen.recv_timeout(PATIENCE).unwrap();
        assert_eq!((&before[..], &cut_off[..]), (&b"before"[..], &b"hello"[..]));
        let mut next = connect(&setting.proxy);
        assert_eq!(ask(&mut next, "again").unwrap(), "again");
        assert_eq!(setting.proxy.statistics().cut, 1);
    }
}

#[test]
fn a_cut_of_requests_keeps_their_end_from_the_upstream() {
    let setting = setting();
    let requests = DirectionFaults {
        cut: Some(Cut {
            after_bytes: 4,
            kind: CutKind::Reset,
        }),
        ..DirectionFaults::default()
    };
    setting.proxy.set(ProxyFaults {
        requests,
        ..ProxyFaults::default()
    });
    let mut stream = connect(&setting.proxy);
    assert!(ask(&mut stream, "request").is_err());
    until("cut", || setting.proxy.statistics().cut == 1);
    assert_eq!(setting.proxy.statistics().request_bytes, 4);
}

#[test]
fn refusal_half_open_and_partition() {
    let setting = setting();
    let mut open = connect(&setting.proxy);
    ask(&mut open, "accepted").unwrap();
    setting.proxy.set(ProxyFaults {
        refuse: true,
        ..ProxyFaults::default()
    });
    until("refused", || {
        let refused = TcpStream::connect(setting.proxy.address);
        refused.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    });
    assert_eq!(ask(&mut open, "open goes on").unwrap(), "open goes on");
    setting.proxy.heal();
    until("accepts again", || {
        TcpStream::connect(setting.proxy.address).is_ok()
    });
    while setting.seen.try_recv().is_ok() {}

    setting.proxy.set(ProxyFaults {
        half_open: true,
        ..ProxyFaults::default()
    });
    let mut silent = connect(&setting.proxy);
    silent.set_read_timeout(Some(SHORT)).unwrap();
    assert!(ask(&mut silent, "anyone").is_err());
    assert!(setting.seen.try_recv().is_err());

    setting.proxy.set(ProxyFaults::partition());
    open.set_read_timeout(Some(SHORT)).unwrap();
    assert!(ask(&mut open, "held").is_err());
    setting.proxy.heal();
    open.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut answer = [0; 4];
    open.read_exact(&mut answer).unwrap();
    assert_eq!(
        &answer, b"held",
        "what a partition held back arrives once it heals"
    );
}

#[test]
fn messages_overtake_one_another_across_connections() {
    let setting = setting();
    let mut faults = ProxyFaults::delay(2_000_000, 0);
    faults.every = Some(2);
    setting.proxy.set(faults);
    let mut first = connect(&setting.proxy);
    ask(&mut first, "first").unwrap();
    let mut second = connect(&setting.proxy);
    second.write_all(b"second").unwrap();
    until("two accepted", || setting.proxy.statistics().accepted == 2);
    std::thread::sleep(Duration::from_millis(20));
    ask(&mut first, "third").unwrap();
    let order: Vec<Vec<u8>> = (0..3)
        .map(|_| setting.seen.recv_timeout(PATIENCE).unwrap())
        .collect();
    assert_eq!(order, [&b"first"[..], b"third", b"second"]);
}

#[actix_rt::test]
async fn the_control_interface_sets_faults_and_closes_connections() {
    let Setting { proxy, seen, _host } = setting();
    let proxy = Arc::new(proxy);
    let server = control(any_port(), proxy.clone()).unwrap();
    let mut stream = connect(&proxy);
    ask(&mut stream, "hello").unwrap();
    let close = Call::post(server.address, "/close", "{\"kind\":\"reset\"}");
    assert_eq!(close.send().await.unwrap().status(), 200);
    let closed = stream.read(&mut [0; 8]);
    assert_eq!(closed.unwrap_err().kind(), ErrorKind::ConnectionReset);
    let faults = Call::post(server.address, "/faults", "{\"refuse\":true}");
    assert_eq!(faults.send().await.unwrap().status(), 200);
    let wrong = Call::post(server.address, "/faults", "{\"refuses\":true}");
    assert_eq!(wrong.send().await.unwrap().status(), 400);
    let statistics = Call::get(server.address, "/statistics").send().await;
    let statistics: ProxyStatistics = statistics.unwrap().json().unwrap();
    assert_eq!((statistics.accepted, statistics.cut), (1, 1));
    server.stop();
    drop(seen);
}
