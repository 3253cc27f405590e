//! Just enough HTTP/1.1: heads, bodies with a length, in chunks, or up to the connection's end.

use std::io::{self, Read};
use std::net::TcpStream;

/// A request or response head.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The first line.
    pub line: String,
    lines: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self.lines.iter().find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&line.1)
    }

    /// A word of the first line.
    pub fn word(&self, place: usize) -> &str {
        self.line.split(' ').nth(place).unwrap_or_default()
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection with what was read of it and not used yet.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    /// A connection of which nothing was read.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unread: Vec::new() }
    }

    /// Reads more. Returns false at the end.
    fn read(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Ok(line);
            }
            if !self.read()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if !self.read()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head { line: self.line()?, lines: Vec::new() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(head) };
            head.lines.push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a request's body.
    pub fn request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head.get("Content-Length").and_then(|length| length.parse().ok());
        self.take(length.unwrap_or(0))
    }

    /// Reads a response's body and hands on each part as it comes. Returns how it ended, and
    /// whether it ended as its framing says.
    pub fn response_body(&mut self, head: &Head, mut part: impl FnMut(&[u8])) -> (String, bool) {
        let result = self.framed_body(head, &mut part);
        match result {
            Ok(how) => (how.to_owned(), true),
            Err(error) => (format!("broken off ({error})"), false),
        }
    }

    fn framed_body(
        &mut self,
        head: &Head,
        part: &mut impl FnMut(&[u8]),
    ) -> io::Result<&'static str> {
        if head.get("Transfer-Encoding").is_some() {
            loop {
                let line = self.line()?;
                let size = usize::from_str_radix(line.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let bytes = self.take(size)?;
                self.line()?;
                if size == 0 {
                    return Ok("the last chunk");
                }
                part(&bytes);
            }
        }
        if let Some(length) = head.get("Content-Length").and_then(|length| length.parse().ok()) {
            let bytes = self.take(length)?;
            part(&bytes);
            return Ok("its length");
        }
        loop {
            part(&std::mem::take(&mut self.unread));
            if !self.read()? {
                return Ok("the end of the connection");
            }
        }
    }
}
