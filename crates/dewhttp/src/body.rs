//! Decoding of message bodies: by length, chunked, or until the connection
//! closes.

use dewbudget::BodySink;
use thiserror::Error;

/// Maximum bytes of a chunk header line; a size has at most 15 digits.
const MAX_CHUNK_LINE: usize = 256;

/// Maximum bytes of trailers, which are read and discarded.
const MAX_TRAILERS: usize = 4096;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Exact(u64),
    /// The body ends after the last chunk.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

/// The framing of a body is malformed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("malformed chunk or trailer")]
pub struct BodyError;

#[derive(Clone, Debug, Eq, PartialEq)]
enum DecoderState {
    Exact(u64),
    UntilClose,
    ChunkLine(Vec<u8>),
    ChunkData(u64),
    ChunkEnd(u8),
    Trailers(Vec<u8>, usize),
    Done,
}

/// Incremental decoder that removes the framing of a body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewhttp::{BodyDecoder, BodyLength};
    ///
    /// let mut decoder = BodyDecoder::new(BodyLength::Chunked);
    /// let mut body = Vec::new();
    /// let used = decoder.decode(b"2\r\nok\r\n0\r\n\r\nmore", &mut body).unwrap();
    /// assert_eq!((used, body.as_slice(), decoder.is_done()), (12, b"ok".as_slice(), true));
    /// ```
    pub fn new(length: BodyLength) -> Self {
        let state = match length {
            BodyLength::Exact(0) => DecoderState::Done,
            BodyLength::Exact(remaining) => DecoderState::Exact(remaining),
            BodyLength::Chunked => DecoderState::ChunkLine(Vec::new()),
            BodyLength::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Returns whether closing the connection completes the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Decodes input until the body is complete; returns the number of input
    /// bytes used.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is malformed.
    pub fn decode(&mut self, input: &[u8], out: &mut impl BodySink) -> Result<usize, BodyError> {
        let mut used = 0;
        while used < input.len() && !self.is_done() {
            used += self.step(&input[used..], out)?;
        }
        Ok(used)
    }

    fn step(&mut self, input: &[u8], out: &mut impl BodySink) -> Result<usize, BodyError> {
        match &mut self.state {
            DecoderState::Done => Ok(0),
            DecoderState::UntilClose => {
                out.append(input);
                Ok(input.len())
            }
            DecoderState::Exact(remaining) => {
                let copied = copy_limited(remaining, input, out);
                if *remaining == 0 {
                    self.state = DecoderState::Done;
                }
                Ok(copied)
            }
            DecoderState::ChunkData(remaining) => {
                let copied = copy_limited(remaining, input, out);
                if *remaining == 0 {
                    self.state = DecoderState::ChunkEnd(0);
                }
                Ok(copied)
            }
            DecoderState::ChunkEnd(received) => {
                let expected = if *received == 0 { b'\r' } else { b'\n' };
                if input[0] != expected {
                    return Err(BodyError);
                }
                self.state = match *received {
                    0 => DecoderState::ChunkEnd(1),
                    _ => DecoderState::ChunkLine(Vec::new()),
                };
                Ok(1)
            }
            DecoderState::ChunkLine(line) => {
                line.push(input[0]);
                if line.len() > MAX_CHUNK_LINE {
                    return Err(BodyError);
                }
                if input[0] == b'\n' {
                    self.state = match chunk_size(line)? {
                        0 => DecoderState::Trailers(Vec::new(), 0),
                        size => DecoderState::ChunkData(size),
                    };
                }
                Ok(1)
            }
            DecoderState::Trailers(line, total) => {
                line.push(input[0]);
                *total += 1;
                if *total > MAX_TRAILERS {
                    return Err(BodyError);
                }
                if input[0] == b'\n' {
                    match line.as_slice() {
                        b"\r\n" => self.state = DecoderState::Done,
                        field => {
                            check_trailer(field)?;
                            line.clear();
                        }
                    }
                }
                Ok(1)
            }
        }
    }
}

fn copy_limited(remaining: &mut u64, input: &[u8], out: &mut impl BodySink) -> usize {
    let count =
        usize::try_from(*remaining).map_or(input.len(), |remaining| remaining.min(input.len()));
    out.append(&input[..count]);
    *remaining -= count as u64;
    count
}

/// Checks that a line of the trailers is a field.
fn check_trailer(line: &[u8]) -> Result<(), BodyError> {
    // The parser takes a line that ends without CR, too.
    let field = line.strip_suffix(b"\r\n").ok_or(BodyError)?;
    let section = [field, b"\r\n\r\n"].concat();
    let mut headers = [httparse::EMPTY_HEADER; 1];
    match httparse::parse_headers(&section, &mut headers) {
        Ok(httparse::Status::Complete((length, [_]))) if length == section.len() => Ok(()),
        _ => Err(BodyError),
    }
}

/// Parses a chunk size; chunk extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let line = line.strip_suffix(b"\r\n").ok_or(BodyError)?;
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    if line.iter().any(is_control) {
        return Err(BodyError);
    }
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(BodyError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError)
}
