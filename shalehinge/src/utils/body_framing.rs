//! Follows the framing of a message's body on a connection: lengths, chunks and trailers.

/// Maximum size of the trailers of a chunked body, in bytes. Trailers are not used.
pub const MAX_TRAILER_BYTES: usize = 64 * 1024;

/// Line end after a chunk.
const LINE_END_BYTES: u64 = 2;

/// The trailers of a body are longer than [`MAX_TRAILER_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrailersTooLong;

/// What the next bytes of a body belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body is complete.
    Complete,
    /// A body of which this many bytes are missing.
    Length(u64),
    /// The line with the size of a chunk, of which the size has been read if `has_size`.
    ChunkSize {
        /// Size read so far.
        size: u64,
        /// Whether the digits have ended.
        has_size: bool,
    },
    /// A chunk of which this many bytes are missing, with its line end.
    Chunk(u64),
    /// Trailers.
    Trailers {
        /// Bytes so far.
        bytes: usize,
        /// Bytes so far of the last line.
        line: usize,
    },
    /// A body that the end of the connection ends, or one whose framing is not valid, which the
    /// HTTP library rejects.
    UntilClose,
}

impl BodyFraming {
    /// The framing that these header lines declare; `None` if they declare none.
    pub fn of_headers<'a>(lines: impl Iterator<Item = &'a [u8]>) -> Option<Self> {
        let mut length = None;
        for line in lines {
            let mut halves = line.splitn(2, |byte| *byte == b':');
            let name = halves.next().unwrap_or_default().trim_ascii();
            let value = halves.next().unwrap_or_default().trim_ascii();
            if name.eq_ignore_ascii_case(b"transfer-encoding") {
                return Some(Self::CHUNK_SIZE);
            }
            if name.eq_ignore_ascii_case(b"content-length") {
                length = std::str::from_utf8(value).ok();
            }
        }
        Some(match length?.parse() {
            Ok(0) => Self::Complete,
            Ok(length) => Self::Length(length),
            Err(_) => Self::UntilClose,
        })
    }

    const CHUNK_SIZE: Self = Self::ChunkSize {
        size: 0,
        has_size: false,
    };

    /// Processes received bytes. Returns how many of them belong to the body.
    ///
    /// # Errors
    ///
    /// The trailers are too long.
    pub fn on_received(&mut self, bytes: &[u8]) -> Result<usize, TrailersTooLong> {
        let mut at = 0;
        while at < bytes.len() && *self != Self::Complete {
            let rest = &bytes[at..];
            at += match *self {
                Self::Complete => 0,
                Self::UntilClose => rest.len(),
                Self::Length(missing) => {
                    let length = length_within(rest, missing);
                    *self = match missing - length as u64 {
                        0 => Self::Complete,
                        missing => Self::Length(missing),
                    };
                    length
                }
                Self::Chunk(missing) => {
                    let length = length_within(rest, missing);
                    *self = match missing - length as u64 {
                        0 => Self::CHUNK_SIZE,
                        missing => Self::Chunk(missing),
                    };
                    length
                }
                Self::ChunkSize { size, has_size } => {
                    *self = after_size_byte(size, has_size, rest[0]);
                    1
                }
                Self::Trailers { bytes, line } => {
                    *self = after_trailer_byte(bytes, line, rest[0])?;
                    1
                }
            };
        }
        Ok(at)
    }
}

/// Length of `bytes`, or `missing` if that is less.
fn length_within(bytes: &[u8], missing: u64) -> usize {
    usize::try_from(missing).map_or(bytes.len(), |missing| missing.min(bytes.len()))
}

fn after_size_byte(size: u64, has_size: bool, byte: u8) -> BodyFraming {
    if byte == b'\n' {
        return match size.checked_add(LINE_END_BYTES) {
            Some(LINE_END_BYTES) => BodyFraming::Trailers { bytes: 0, line: 0 },
            Some(missing) => BodyFraming::Chunk(missing),
            None => BodyFraming::UntilClose,
        };
    }
    let digit = match byte {
        _ if has_size => None,
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    };
    match digit.map(|digit| (size.checked_mul(16), digit)) {
        None => BodyFraming::ChunkSize {
            size,
            has_size: true,
        },
        Some((Some(size), digit)) => BodyFraming::ChunkSize {
            size: size | u64::from(digit),
            has_size: false,
        },
        Some((None, _)) => BodyFraming::UntilClose,
    }
}

fn after_trailer_byte(bytes: usize, line: usize, byte: u8) -> Result<BodyFraming, TrailersTooLong> {
    if bytes >= MAX_TRAILER_BYTES {
        return Err(TrailersTooLong);
    }
    Ok(match byte {
        b'\n' if line == 0 => BodyFraming::Complete,
        b'\n' => BodyFraming::Trailers {
            bytes: bytes + 1,
            line: 0,
        },
        b'\r' => BodyFraming::Trailers {
            bytes: bytes + 1,
            line,
        },
        _ => BodyFraming::Trailers {
            bytes: bytes + 1,
            line: line + 1,
        },
    })
}
