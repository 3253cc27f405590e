//! Heads of requests and answers.

use bytes::{Buf, BytesMut};

/// Most header lines in a head.
const MAX_HEADERS: usize = 96;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It does not follow the protocol.
    Malformed,
    /// It is larger than allowed.
    TooLarge,
    /// Its body cannot be told from what follows.
    AmbiguousLength,
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By its length in bytes.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Header lines in the order in which they came.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    lines: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// The first value of a header, if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self.lines.iter().find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&line.1).ok().map(str::trim)
    }

    /// Whether the header is there.
    pub fn contains(&self, name: &str) -> bool {
        self.lines.iter().any(|(known, _)| known.eq_ignore_ascii_case(name))
    }

    /// All values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.lines
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok().map(str::trim))
    }

    /// All values of a header, also those that are no text.
    pub fn all_bytes<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self.lines.iter().filter(move |(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_slice())
    }

    /// Header lines that concern the message and not the connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        self.lines.iter().filter(move |(name, _)| {
            let name = name.to_ascii_lowercase();
            !CONNECTION_HEADERS.contains(&name.as_str()) && !named.contains(&name)
        })
    }

    /// Whether a token stands in the `Connection` header.
    pub fn connection_has(&self, token: &str) -> bool {
        self.all("connection")
            .flat_map(|value| value.split(','))
            .any(|known| known.trim().eq_ignore_ascii_case(token))
    }

    /// Seconds of the `timeout` in `Keep-Alive`.
    pub fn keep_alive_seconds(&self) -> Option<u64> {
        self.all("keep-alive")
            .flat_map(|value| value.split(','))
            .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    }

    fn length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        for value in self.all("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let parsed: u64 =
                value.parse().ok().filter(|_| digits).ok_or(HeadError::AmbiguousLength)?;
            if length.is_some_and(|known| known != parsed) {
                return Err(HeadError::AmbiguousLength);
            }
            length = Some(parsed);
        }
        let lines =
            self.lines.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        if lines.count() > 0 && length.is_none() {
            return Err(HeadError::AmbiguousLength);
        }
        Ok(length)
    }

    fn chunked(&self) -> Result<bool, HeadError> {
        if !self.contains("transfer-encoding") {
            return Ok(false);
        }
        let mut codings = self.all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(true),
            _ => Err(HeadError::AmbiguousLength),
        }
    }
}

/// Head of a client's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method, as sent.
    pub method: String,
    /// Target, as sent: path and query.
    pub target: String,
    /// Whether it is HTTP/1.1.
    pub is_http_1_1: bool,
    /// Header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
}

impl RequestHead {
    /// Host in lower case without a port.
    pub fn host(&self) -> Option<String> {
        let host = self.headers.get("host")?;
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        Some(name.to_ascii_lowercase())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Value of a parameter of the query, not decoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Whether the client wants to keep the connection.
    pub fn keeps_connection(&self) -> bool {
        self.is_http_1_1 && !self.headers.connection_has("close")
    }
}

/// Head of a server's answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Words behind the status code.
    pub reason: String,
    /// Header lines.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the server keeps the connection.
    pub keeps_connection: bool,
}

fn owned(headers: &[httparse::Header<'_>]) -> Headers {
    let lines =
        headers.iter().map(|header| (header.name.to_owned(), header.value.to_vec())).collect();
    Headers { lines }
}

/// Takes the head of a request off the buffer; `None` until it is whole.
pub fn parse_request_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_blank_lines(buffer);
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let (length, head) = match request.parse(buffer) {
        Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(length)) if length > max_bytes => {
            return Err(HeadError::TooLarge);
        }
        Ok(httparse::Status::Complete(length)) => (length, request_head(&request)?),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
        Err(_) => return Err(HeadError::Malformed),
    };
    buffer.advance(length);
    Ok(Some(head))
}

fn skip_blank_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

fn request_head(request: &httparse::Request<'_, '_>) -> Result<RequestHead, HeadError> {
    let headers = owned(request.headers);
    let is_http_1_1 = request.version == Some(1);
    let target = request.path.unwrap_or_default().to_owned();
    if !target.starts_with('/') || headers.all("host").count() != 1 {
        return Err(HeadError::Malformed);
    }
    let framing = match (headers.chunked()?, headers.length()?) {
        (true, Some(_)) => return Err(HeadError::AmbiguousLength),
        (true, None) if !is_http_1_1 => return Err(HeadError::AmbiguousLength),
        (true, None) => Framing::Chunked,
        (false, None | Some(0)) => Framing::Empty,
        (false, Some(length)) => Framing::Length(length),
    };
    let method = request.method.unwrap_or_default().to_owned();
    Ok(RequestHead { method, target, is_http_1_1, headers, framing })
}

/// Takes the head of an answer off the buffer; `None` until it is whole.
/// Interim answers (1xx) are passed over.
pub fn parse_response_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
    to_head_request: bool,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let (length, head) = match response.parse(buffer) {
            Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
                return Err(HeadError::TooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Ok(httparse::Status::Complete(length)) => {
                (length, answer_head(&response, to_head_request)?)
            }
            Err(_) => return Err(HeadError::Malformed),
        };
        buffer.advance(length);
        if head.status >= 200 {
            return Ok(Some(head));
        }
    }
}

fn answer_head(
    response: &httparse::Response<'_, '_>,
    to_head_request: bool,
) -> Result<ResponseHead, HeadError> {
    let headers = owned(response.headers);
    let status = response.code.unwrap_or_default();
    let bodiless = to_head_request || status < 200 || status == 204 || status == 304;
    let framing = match (headers.chunked()?, headers.length()?) {
        (true, Some(_)) => return Err(HeadError::AmbiguousLength),
        _ if bodiless => Framing::Empty,
        (true, None) => Framing::Chunked,
        (false, Some(0)) => Framing::Empty,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    let is_http_1_1 = response.version == Some(1);
    let keeps_connection =
        is_http_1_1 && !headers.connection_has("close") && framing != Framing::UntilClose;
    let reason = response.reason.unwrap_or_default().to_owned();
    Ok(ResponseHead { status, reason, headers, framing, keeps_connection })
}
