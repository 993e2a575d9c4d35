//! Answers of the platform with a status other than 200, whose body looks like a list: none is taken for one.

use firshore_server::platform::machine_list;
use firshore_server::platform::object_api::ObjectApi;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

const ODD_STATUSES: [&str; 7] = ["000", "099", "204", "404", "503", "600", "999"];

/// Starts a server that answers each request with an empty list; returns its base address.
fn start_platform(status: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = format!(
        "HTTP/1.1 {status} Odd\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n[]"
    );
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    format!("http://{address}")
}

#[actix_rt::test]
async fn error_of_the_platform_was_taken_for_an_empty_machine_list() {
    let whole = machine_list::read(&start_platform("200")).await;
    assert!(whole.is_some_and(|machines| machines.is_empty()));
    for status in ODD_STATUSES {
        let machines = machine_list::read(&start_platform(status)).await;
        assert!(machines.is_none(), "{status}");
    }
}

#[actix_rt::test]
async fn error_of_the_platform_is_no_list_of_objects() {
    for status in ODD_STATUSES {
        let objects = ObjectApi::new(&start_platform(status));
        let listed = objects.list_after("", "", Duration::ZERO).await;
        assert!(listed.is_err(), "{status}");
    }
}
