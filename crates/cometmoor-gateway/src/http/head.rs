//! Heads of requests and responses: parsing, header fields and the framing of the body.

use bytes::{Buf, BytesMut};

/// Number of header lines that are parsed at first. Only few heads have more.
const USUAL_HEADERS: usize = 96;
/// Minimum length of a header line in bytes: a name of one character, a colon and the line end.
const MIN_HEADER_BYTES: usize = 4;
/// Memory that the allocator takes for a name or a short value, in bytes.
const MIN_ALLOCATION: usize = 32;

/// Hop-by-hop headers: they apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a head is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It violates the protocol.
    Malformed,
    /// It exceeds the size limit.
    TooLarge,
    /// The end of the body is ambiguous, so that it cannot be separated from what follows.
    AmbiguousLength,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By its length in bytes (`Content-Length`).
    Length(u64),
    /// By the last chunk (`Transfer-Encoding: chunked`).
    Chunked,
    /// By the end of the connection (responses only).
    UntilClose,
}

impl Framing {
    /// Value of the `framing` field of log lines and label of metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Empty => "empty",
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "connection",
        }
    }
}

/// Header lines in the order in which they were received.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    lines: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// The first value of a header, trimmed; `None` if the header is missing or its value is not
    /// UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self.lines.iter().find(|(header, _)| header.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&line.1).ok().map(str::trim)
    }

    /// Memory that they take, in bytes.
    pub fn memory(&self) -> usize {
        let of_text = |length: usize| length.max(MIN_ALLOCATION);
        let lines = self.lines.iter();
        let texts = lines.map(|(name, value)| of_text(name.len()) + of_text(value.len()));
        self.lines.capacity() * size_of::<(String, Vec<u8>)>() + texts.sum::<usize>()
    }

    /// Whether the header is present.
    pub fn contains(&self, name: &str) -> bool {
        self.lines.iter().any(|(header, _)| header.eq_ignore_ascii_case(name))
    }

    /// All values of a header, trimmed, except those that are not UTF-8.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.lines
            .iter()
            .filter(move |(header, _)| header.eq_ignore_ascii_case(name))
            .filter_map(|(_, value)| std::str::from_utf8(value).ok().map(str::trim))
    }

    /// All values of a header as raw bytes, including those that are not UTF-8.
    pub fn all_bytes<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self.lines.iter().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_slice())
    }

    /// The end-to-end header lines: all except hop-by-hop headers and those that the `Connection`
    /// header names.
    pub fn end_to_end(&self) -> impl Iterator<Item = &(String, Vec<u8>)> {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        self.lines.iter().filter(move |(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && !named.contains(&name)
        })
    }

    /// Whether the `Connection` header contains the option.
    pub fn has_connection_option(&self, option: &str) -> bool {
        self.all("connection")
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(option))
    }

    /// The `timeout` parameter of `Keep-Alive` in seconds; `None` if it is missing or invalid.
    pub fn keep_alive_seconds(&self) -> Option<u64> {
        self.all("keep-alive")
            .flat_map(|value| value.split(','))
            .find_map(|part| part.trim().strip_prefix("timeout=")?.parse().ok())
    }

    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        for value in self.all("content-length") {
            let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let parsed: u64 =
                value.parse().ok().filter(|_| is_number).ok_or(HeadError::AmbiguousLength)?;
            if length.is_some_and(|previous| previous != parsed) {
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

    fn is_chunked(&self) -> Result<bool, HeadError> {
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

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Request target as received: path and query.
    pub target: String,
    /// Whether the protocol version is HTTP/1.1, and not HTTP/1.0.
    pub is_http_1_1: bool,
    /// Header lines.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
}

impl RequestHead {
    /// Host in lower case and without its port.
    pub fn host(&self) -> Option<String> {
        let host = self.headers.get("host")?;
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        Some(name.to_ascii_lowercase())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Value of a query parameter without percent-decoding; `None` if it is missing.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Whether the client keeps the connection open for further requests.
    pub fn keeps_connection(&self) -> bool {
        self.is_http_1_1 && !self.headers.has_connection_option("close")
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header lines.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the server keeps the connection open for further requests.
    pub keeps_connection: bool,
}

fn to_headers(headers: &[httparse::Header<'_>]) -> Headers {
    let lines =
        headers.iter().map(|header| (header.name.to_owned(), header.value.to_vec())).collect();
    Headers { lines }
}

/// Removes the head of a request from the buffer. `None` until the head is complete.
pub fn parse_request_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, HeadError> {
    skip_empty_lines(buffer);
    let mut lines = [httparse::EMPTY_HEADER; USUAL_HEADERS];
    let parsed = match parse_request(buffer, &mut lines, max_bytes) {
        Err(ParseError::TooManyHeaders) => {
            let mut lines = vec![httparse::EMPTY_HEADER; max_bytes / MIN_HEADER_BYTES];
            parse_request(buffer, &mut lines, max_bytes)
        }
        parsed => parsed,
    };
    match parsed {
        Ok(Some((length, head))) => {
            buffer.advance(length);
            Ok(Some(head))
        }
        Ok(None) => Ok(None),
        Err(ParseError::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(ParseError::Head(error)) => Err(error),
    }
}

enum ParseError {
    /// There is no place for all header lines.
    TooManyHeaders,
    Head(HeadError),
}

/// Parses the head of a request with a place for each header line. Returns its length, too.
fn parse_request<'a>(
    bytes: &'a [u8],
    lines: &mut [httparse::Header<'a>],
    max_bytes: usize,
) -> Result<Option<(usize, RequestHead)>, ParseError> {
    let mut request = httparse::Request::new(lines);
    match request.parse(bytes) {
        Ok(httparse::Status::Partial) if bytes.len() > max_bytes => {
            Err(ParseError::Head(HeadError::TooLarge))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Ok(httparse::Status::Complete(length)) if length > max_bytes => {
            Err(ParseError::Head(HeadError::TooLarge))
        }
        Ok(httparse::Status::Complete(length)) => match request_head(&request) {
            Ok(head) => Ok(Some((length, head))),
            Err(error) => Err(ParseError::Head(error)),
        },
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::TooManyHeaders),
        Err(_) => Err(ParseError::Head(HeadError::Malformed)),
    }
}

fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

fn request_head(request: &httparse::Request<'_, '_>) -> Result<RequestHead, HeadError> {
    let headers = to_headers(request.headers);
    let is_http_1_1 = request.version == Some(1);
    let target = request.path.unwrap_or_default().to_owned();
    if !target.starts_with('/') || headers.all("host").count() != 1 {
        return Err(HeadError::Malformed);
    }
    let framing = match (headers.is_chunked()?, headers.content_length()?) {
        (true, Some(_)) => return Err(HeadError::AmbiguousLength),
        (true, None) if !is_http_1_1 => return Err(HeadError::AmbiguousLength),
        (true, None) => Framing::Chunked,
        (false, None | Some(0)) => Framing::Empty,
        (false, Some(length)) => Framing::Length(length),
    };
    let method = request.method.unwrap_or_default().to_owned();
    Ok(RequestHead { method, target, is_http_1_1, headers, framing })
}

/// Removes the head of a response from the buffer. `None` until the head is complete. Interim
/// responses (1xx) are skipped. The response to a `HEAD` request (`to_head_request`) has no body.
pub fn parse_response_head(
    buffer: &mut BytesMut,
    max_bytes: usize,
    to_head_request: bool,
) -> Result<Option<ResponseHead>, HeadError> {
    loop {
        let mut lines = [httparse::EMPTY_HEADER; USUAL_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let (length, head) = match response.parse(buffer) {
            Ok(httparse::Status::Partial) if buffer.len() > max_bytes => {
                return Err(HeadError::TooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Ok(httparse::Status::Complete(length)) => {
                (length, response_head(&response, to_head_request)?)
            }
            Err(_) => return Err(HeadError::Malformed),
        };
        buffer.advance(length);
        if head.status >= 200 {
            return Ok(Some(head));
        }
    }
}

fn response_head(
    response: &httparse::Response<'_, '_>,
    to_head_request: bool,
) -> Result<ResponseHead, HeadError> {
    let headers = to_headers(response.headers);
    let status = response.code.unwrap_or_default();
    let has_no_body = to_head_request || status < 200 || status == 204 || status == 304;
    let framing = match (headers.is_chunked()?, headers.content_length()?) {
        (true, Some(_)) => return Err(HeadError::AmbiguousLength),
        _ if has_no_body => Framing::Empty,
        (true, None) => Framing::Chunked,
        (false, Some(0)) => Framing::Empty,
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::UntilClose,
    };
    let is_http_1_1 = response.version == Some(1);
    let keeps_connection =
        is_http_1_1 && !headers.has_connection_option("close") && framing != Framing::UntilClose;
    let reason = response.reason.unwrap_or_default().to_owned();
    Ok(ResponseHead { status, reason, headers, framing, keeps_connection })
}
