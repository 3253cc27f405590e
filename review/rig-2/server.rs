//! A server behind the gateway: it answers each request with a stream of events whose body has no
//! length and ends with its connection. The request's path tells the number of events.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Connection;

/// Keeps lines of several threads whole.
static OUTPUT: Mutex<()> = Mutex::new(());

/// A line for the record: the server's output is noted there.
fn tell(line: &str) {
    let _held = OUTPUT.lock();
    let mut output = std::io::stdout();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

/// Serves until the process is ended.
pub fn serve(address: &str, id: &str, gap: u64) {
    let listener = match TcpListener::bind(address) {
        Ok(listener) => listener,
        Err(error) => return tell(&format!("cannot listen on {address}: {error}")),
    };
    tell("listens");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || converse(stream, &id, Duration::from_millis(gap)));
    }
}

fn converse(stream: TcpStream, id: &str, gap: Duration) {
    let mut connection = Connection::new(stream);
    while let Ok(head) = connection.head() {
        if connection.request_body(&head).is_err() {
            return;
        }
        let attempt = head.get("X-Attempt-Id").unwrap_or_default().to_owned();
        let expected = head.get("X-Expect-Instance");
        if expected.is_some_and(|expected| expected != id) {
            tell(&format!("rejects {attempt}: it is for another instance"));
            let answer = format!(
                "HTTP/1.1 421 -\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if head.word(0) == "GET" {
            let answer = format!("HTTP/1.1 200 -\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        tell(&format!("runs {attempt}"));
        // The path tells how long the answer is.
        let events = head.word(1).split('/').nth(2).and_then(|count| count.parse().ok());
        let events: u32 = events.unwrap_or(1);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{id}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
        );
        if connection.stream.write_all(answer.as_bytes()).is_err() {
            return tell(&format!("drops {attempt}: its connection is gone"));
        }
        for number in 1..=events {
            let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
            if connection.stream.write_all(event.as_bytes()).is_err() {
                return tell(&format!("drops {attempt} at event {number}: its connection is gone"));
            }
            tell(&format!("sent event {number} of {events} of {attempt}"));
            thread::sleep(gap);
        }
        return tell(&format!("has completed {attempt}"));
    }
}
