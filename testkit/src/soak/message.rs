//! HTTP/1.1 messages of the soak's stand-ins, read and written byte by byte, so that a stand-in can
//! also send what no HTTP library would.

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// A connection with a buffer for reading.
pub type Connection<'a> = BufReader<&'a mut TcpStream>;

/// First line and headers of a message; names of headers are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    headers: BTreeMap<String, String>,
}

impl Head {
    /// Returns the value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the number that a header holds.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns a word of the first line.
    #[must_use]
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response, 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head.
///
/// # Errors
/// Fails if the connection ends before the empty line.
pub async fn read_head(connection: &mut (impl AsyncBufRead + Unpin)) -> Result<Head> {
    let mut head = Head::default();
    let mut line = String::new();
    loop {
        line.clear();
        if connection.read_line(&mut line).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() && !head.first_line.is_empty() {
            return Ok(head);
        }
        match text.split_once(':') {
            Some((name, value)) if !head.first_line.is_empty() => {
                let name = name.to_ascii_lowercase();
                head.headers.insert(name, value.trim().to_owned());
            }
            _ => head.first_line = text.to_owned(),
        }
    }
}

/// Reads a body of the length that its head declares.
///
/// # Errors
/// Fails if the connection ends before that.
pub async fn read_body(
    connection: &mut (impl AsyncBufRead + Unpin),
    head: &Head,
) -> Result<Vec<u8>> {
    let length = head.number("content-length").unwrap_or(0);
    let mut body = vec![0; usize::try_from(length).unwrap_or(0)];
    connection.read_exact(&mut body).await?;
    Ok(body)
}

/// Reads the next chunk of a body; an empty one is its end.
///
/// # Errors
/// Fails if the connection ends within the chunk.
pub async fn read_chunk(connection: &mut (impl AsyncBufRead + Unpin)) -> Result<Vec<u8>> {
    let mut line = String::new();
    connection.read_line(&mut line).await?;
    let size = usize::from_str_radix(line.trim_end(), 16);
    let size = size.map_err(|e| Error::new(ErrorKind::InvalidData, e))?;
    let mut chunk = vec![0; size + 2];
    connection.read_exact(&mut chunk).await?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Returns a response with a whole body; each of `headers` ends with a line break.
#[must_use]
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Returns a chunk of a body.
#[must_use]
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
