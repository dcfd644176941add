//! Parsing of HTTP heads and bodies.

use dewhttp::{BodyDecoder, BodyLength, HeadError, parse_request, parse_response};
use quickcheck::quickcheck;

struct RequestCase {
    name: &'static str,
    bytes: &'static str,
    expected: Result<BodyLength, HeadError>,
}

const REQUEST_CASES: [RequestCase; 16] = [
    RequestCase {
        name: "no body",
        bytes: "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n",
        expected: Ok(BodyLength::Exact(0)),
    },
    RequestCase {
        name: "length",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length: 12\r\n\r\n",
        expected: Ok(BodyLength::Exact(12)),
    },
    RequestCase {
        name: "chunked",
        bytes: "POST /a/ HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
        expected: Ok(BodyLength::Chunked),
    },
    RequestCase {
        name: "a length above u64::MAX",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        expected: Ok(BodyLength::Exact(u64::MAX)),
    },
    RequestCase {
        name: "a length and chunked",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        expected: Err(HeadError::Malformed("conflicting lengths")),
    },
    RequestCase {
        name: "a repeated length",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
        expected: Err(HeadError::Malformed("duplicate header")),
    },
    RequestCase {
        name: "a list of lengths",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
        expected: Err(HeadError::Malformed("Content-Length")),
    },
    RequestCase {
        name: "a signed length",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        expected: Err(HeadError::Malformed("Content-Length")),
    },
    RequestCase {
        name: "an unknown transfer coding",
        bytes: "POST /a/ HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        expected: Err(HeadError::Unsupported("Transfer-Encoding")),
    },
    RequestCase {
        name: "a bare LF",
        bytes: "GET /a/ HTTP/1.1\nHost: h\r\n\r\n",
        expected: Err(HeadError::Malformed("line ends without CR LF")),
    },
    RequestCase {
        name: "a bare CR",
        bytes: "GET /a/ HTTP/1.1\r\nHost: a\rb\r\n\r\n",
        expected: Err(HeadError::Malformed("line ends without CR LF")),
    },
    RequestCase {
        name: "a folded header",
        bytes: "GET /a/ HTTP/1.1\r\nHost: h\r\n more\r\n\r\n",
        expected: Err(HeadError::Malformed("syntax")),
    },
    RequestCase {
        name: "a space before the colon",
        bytes: "POST /a/ HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
        expected: Err(HeadError::Malformed("syntax")),
    },
    RequestCase {
        name: "an absolute target",
        bytes: "GET http://other/ HTTP/1.1\r\nHost: h\r\n\r\n",
        expected: Err(HeadError::Malformed("the target isn't a path")),
    },
    RequestCase {
        name: "an old version",
        bytes: "GET /a/ HTTP/1.0\r\n\r\n",
        expected: Err(HeadError::Unsupported("version")),
    },
    RequestCase {
        name: "too long",
        bytes: "GET /a/ HTTP/1.1\r\nX: 0123456789012345678901234567890123456789012345678901234567890\
                12345678901234567890123456789012345678901234567890\r\n\r\n",
        expected: Err(HeadError::TooLong),
    },
];

#[test]
fn ambiguous_heads_are_rejected() {
    for case in REQUEST_CASES {
        let head = parse_request(case.bytes.as_bytes(), 120);
        let found = head.map(|head| head.expect("the head is complete").body);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn an_incomplete_head_is_not_an_error() {
    let bytes = REQUEST_CASES[0].bytes.as_bytes();
    for end in 0..bytes.len() {
        let head = parse_request(&bytes[..end], 120);
        assert!(matches!(head, Ok(None)), "cut at {end}");
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let head = parse_response(b"HTTP/1.1 200 OK\r\n\r\n", "GET", 1024);
    let head = head.expect("a head").expect("a whole head");
    assert_eq!(head.body, BodyLength::UntilClose);
    let mut decoder = BodyDecoder::new(head.body);
    let mut body = Vec::new();
    assert_eq!(decoder.decode(b"all", &mut body), Ok(3));
    assert!(!decoder.is_done());
    assert!(decoder.ends_with_connection());
}

struct BrokenHeadCase {
    name: &'static str,
    bytes: &'static str,
    is_valid: bool,
}

/// Guards against a head that has the status of a response which its server broke
/// off, and the fields and body of the next one on the connection.
#[test]
fn a_head_that_goes_on_with_another_response_is_rejected() {
    let case = |name, bytes, is_valid| BrokenHeadCase {
        name,
        bytes,
        is_valid,
    };
    let cases = [
        case(
            "reason",
            "HTTP/1.1 200 OHTTP/1.1 500 X\r\nA: b\r\n\r\n",
            false,
        ),
        case(
            "value",
            "HTTP/1.1 200 OK\r\nA: bHTTP/1.1 500 X\r\n\r\n",
            false,
        ),
        case(
            "no reason",
            "HTTP/1.1 200 OK\r\nA: HTTP/1.1 500\r\n\r\n",
            false,
        ),
        case(
            "older version",
            "HTTP/1.1 200 OK\r\nA: HTTP/1.0 200 OK\r\n\r\n",
            false,
        ),
        case(
            "proxy",
            "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 cache\r\n\r\n",
            true,
        ),
        case("short", "HTTP/1.1 200 OK\r\nVia: HTTP/1.\r\n\r\n", true),
        case(
            "number",
            "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 8080\r\n\r\n",
            true,
        ),
    ];
    for case in cases {
        let head = parse_response(case.bytes.as_bytes(), "GET", 1024);
        assert_eq!(head.is_ok(), case.is_valid, "{}", case.name);
    }
}

/// Guards against a response with a status that none can have.
#[test]
fn a_status_has_three_digits_from_100_to_599() {
    let parse = |status: &str| {
        let head = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
        parse_response(head.as_bytes(), "GET", 1024)
    };
    for number in 0..1000 {
        // No request asks for the protocol that a 101 would begin.
        let is_valid = (100..600).contains(&number) && number != 101;
        let found = parse(&format!("{number:03}")).map(|head| head.map(|head| head.status));
        assert_eq!(found.ok(), is_valid.then_some(Some(number)), "{number}");
    }
    for status in [
        "20", "2000", "0200", "2x0", "+20", "-20", " 200", "2 0", "", "\u{b2}00",
    ] {
        assert!(parse(status).is_err(), "{status:?}");
    }
}

/// Guards against a field whose name isn't a token or whose value holds a control
/// byte.
#[test]
fn a_field_has_a_token_as_its_name_and_no_control_byte_in_its_value() {
    let mut lines = vec![
        ("A: b".to_string(), true),
        ("A:b".to_string(), true),
        ("A:\tb c\td ".to_string(), true),
        ("A:".to_string(), true),
        (": b".to_string(), false),
        ("A".to_string(), false),
        (" A: b".to_string(), false),
        ("A: b\r\n c".to_string(), false),
    ];
    for byte in 0..=127 {
        let byte = char::from(byte);
        let is_token = byte.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(byte);
        // A colon ends the name.
        lines.push((format!("A{byte}B: c"), is_token || byte == ':'));
        lines.push((
            format!("A: b{byte}c"),
            !byte.is_ascii_control() || byte == '\t',
        ));
    }
    for (line, is_valid) in lines {
        let head = format!("HTTP/1.1 200 X\r\n{line}\r\nContent-Length: 0\r\n\r\n");
        let parsed = parse_response(head.as_bytes(), "GET", 1024);
        assert_eq!(parsed.is_ok(), is_valid, "{line:?}");
    }
}

struct ChunkCase {
    name: &'static str,
    bytes: &'static str,
}

const BAD_CHUNKS: [ChunkCase; 13] = [
    ChunkCase {
        name: "an empty size line",
        bytes: "\r\n",
    },
    ChunkCase {
        name: "a bare LF after the size",
        bytes: "3\nabc\r\n0\r\n\r\n",
    },
    ChunkCase {
        name: "a signed size",
        bytes: "-3\r\nabc\r\n",
    },
    ChunkCase {
        name: "a size above u64::MAX",
        bytes: "fffffffffffffffff\r\n",
    },
    ChunkCase {
        name: "bytes after the chunk",
        bytes: "3\r\nabcd\r\n0\r\n\r\n",
    },
    ChunkCase {
        name: "a control byte in an extension",
        bytes: "3;a=\u{1}\r\nabc\r\n0\r\n\r\n",
    },
    ChunkCase {
        name: "a null byte after the size",
        bytes: "3\0\r\nabc\r\n0\r\n\r\n",
    },
    ChunkCase {
        name: "a trailer whose name holds a blank",
        bytes: "0\r\nA b: c\r\n\r\n",
    },
    ChunkCase {
        name: "a trailer whose name holds a control byte",
        bytes: "0\r\nA\u{7f}: c\r\n\r\n",
    },
    ChunkCase {
        name: "a trailer whose value holds a control byte",
        bytes: "0\r\nA: b\u{1}c\r\n\r\n",
    },
    ChunkCase {
        name: "a trailer whose value holds a CR",
        bytes: "0\r\nA: b\rc\r\n\r\n",
    },
    ChunkCase {
        name: "a trailer without a name",
        bytes: "0\r\nA\r\n\r\n",
    },
    ChunkCase {
        name: "a bare LF in the trailers",
        bytes: "0\r\nA: b\n\r\n",
    },
];

#[test]
fn malformed_chunks_are_rejected() {
    for case in BAD_CHUNKS {
        let mut decoder = BodyDecoder::new(BodyLength::Chunked);
        let found = decoder.decode(case.bytes.as_bytes(), &mut Vec::new());
        assert!(found.is_err(), "{}", case.name);
    }
}

fn chunked(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        bytes.extend_from_slice(format!("{:X};x=y\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nTrailer: t\r\n\r\n");
    bytes
}

quickcheck! {
    fn decoding_does_not_depend_on_how_chunked_input_is_split(parts: Vec<Vec<u8>>, cuts: Vec<u8>) -> bool {
        let bytes = chunked(&parts);
        let mut decoder = BodyDecoder::new(BodyLength::Chunked);
        let mut body = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (current, following) = rest.split_at(usize::from(cut).min(rest.len()));
            if decoder.decode(current, &mut body) != Ok(current.len()) {
                return false;
            }
            rest = following;
        }
        let used = decoder.decode(rest, &mut body);
        used == Ok(rest.len()) && decoder.is_done() && body == parts.concat()
    }

    fn bytes_after_the_body_are_not_consumed(parts: Vec<Vec<u8>>, after: Vec<u8>) -> bool {
        let mut bytes = chunked(&parts);
        let length = bytes.len();
        bytes.extend_from_slice(&after);
        let mut decoder = BodyDecoder::new(BodyLength::Chunked);
        decoder.decode(&bytes, &mut Vec::new()) == Ok(length)
    }

    fn parsers_accept_arbitrary_bytes_without_panicking(bytes: Vec<u8>) -> bool {
        let _ = parse_request(&bytes, 64);
        let _ = parse_response(&bytes, "GET", 64);
        let _ = BodyDecoder::new(BodyLength::Chunked).decode(&bytes, &mut Vec::new());
        true
    }
}
