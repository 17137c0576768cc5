//! The part of HTTP/1.1 that the stand-ins need: one thread for each connection, bodies with a length or
//! in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Headers in the order in which they came.
pub type Headers = Vec<(String, String)>;

/// Returns a header by its name, whatever its case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, v)| v.as_str())
}

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns the path without the query, and the query.
    pub fn split_path(&self) -> (&str, &str) {
        self.path.split_once('?').unwrap_or((&self.path, ""))
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.split_path();
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// Reads the headers of a message up to the empty line.
fn read_headers(from: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunk; empty at the end of the body.
pub fn read_chunk(from: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or("");
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    from.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn is_chunked(headers: &Headers) -> bool {
    header(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

/// Reads a request; `None` if the connection ended before its first byte.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (Some(method), Some(path)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let (method, path) = (method.to_owned(), path.to_owned());
    let headers = read_headers(from)?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        loop {
            let chunk = read_chunk(from)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(len) = header(&headers, "content-length").and_then(|v| v.parse().ok()) {
        body.resize(len, 0);
        from.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

/// Writes the head of a message whose first line is `first`.
pub fn write_head(to: &mut impl Write, first: &str, headers: &[(&str, String)]) -> io::Result<()> {
    let mut head = format!("{first}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    to.write_all(head.as_bytes())
}

/// Writes an answer with a length.
pub fn respond(
    to: &mut impl Write,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut all = headers.to_vec();
    all.push(("Content-Length", body.len().to_string()));
    write_head(to, &format!("HTTP/1.1 {status} S"), &all)?;
    to.write_all(body)?;
    to.flush()
}

/// Writes a chunk; an empty one ends the body.
pub fn write_chunk(to: &mut impl Write, chunk: &[u8]) -> io::Result<()> {
    let mut framed = format!("{:x}\r\n", chunk.len()).into_bytes();
    framed.extend_from_slice(chunk);
    framed.extend_from_slice(b"\r\n");
    to.write_all(&framed)
}

/// Handler of a request. An error closes the connection.
pub type Handler = dyn Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A server that can be stopped.
pub struct Server {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Stops listening: connections are refused from now on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // The listener closes when it has accepted one more connection.
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves requests on `listener` until the server is stopped.
pub fn serve(listener: TcpListener, handler: Arc<Handler>) -> Server {
    let server = Server {
        address: listener.local_addr().expect("an address"),
        stopped: Arc::default(),
    };
    let stopped = Arc::clone(&server.stopped);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    server
}

fn serve_connection(mut stream: TcpStream, handler: &Arc<Handler>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(req) = read_request(&mut reader)? {
        handler(req, &mut stream)?;
    }
    Ok(())
}

/// The head of an answer, and the connection behind it.
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub reader: BufReader<TcpStream>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Reads the whole body. An error says that the answer is not complete.
    pub fn read_body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if is_chunked(&self.headers) {
            loop {
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let len: usize = self
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        body.resize(len, 0);
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }
}

/// Sends a request on an open connection and reads the head of its answer.
pub fn exchange(
    stream: TcpStream,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<Answer> {
    let mut to = stream.try_clone()?;
    let mut all = headers.to_vec();
    if !body.is_empty() || first.starts_with("POST") || first.starts_with("PUT") {
        all.push(("Content-Length", body.len().to_string()));
    }
    write_head(&mut to, first, &all)?;
    to.write_all(body)?;
    read_answer(stream)
}

/// Reads the head of an answer.
pub fn read_answer(stream: TcpStream) -> io::Result<Answer> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = read_headers(&mut reader)?;
    Ok(Answer {
        status,
        headers,
        reader,
    })
}

/// Sends a GET request on a connection of its own and returns the status and the body.
pub fn get(address: SocketAddr, path: &str, limit: Duration) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let host = [("Host", address.to_string())];
    let mut answer = exchange(stream, &format!("GET {path} HTTP/1.1"), &host, &[])?;
    let body = answer.read_body()?;
    Ok((answer.status, body))
}
