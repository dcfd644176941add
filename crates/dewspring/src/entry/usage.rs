//! Reads the number of generated tokens from the end of a JSON response.
//!
//! The response is forwarded as it arrives and never collected. Only its last
//! bytes are kept, because engines put the usage there.

use crate::ids::TokenCount;

/// Number of bytes at the end of a response that are searched.
const TAIL_BYTES: usize = 1024;

const COUNT_FIELD: &[u8] = b"\"completion_tokens\":";

/// The last bytes of a response.
///
/// # Examples
///
/// ```
/// use dewspring::entry::UsageTail;
///
/// let mut tail = UsageTail::default();
/// tail.push(br#"{"choices":[],"usage":{"prompt_tokens":9,"comple"#);
/// tail.push(br#"tion_tokens": 31}}"#);
/// assert_eq!(tail.tokens(), 31);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsageTail {
    bytes: Vec<u8>,
}

impl UsageTail {
    /// Appends the next bytes of the response.
    pub fn push(&mut self, chunk: &[u8]) {
        let kept = &chunk[chunk.len().saturating_sub(TAIL_BYTES)..];
        self.bytes.extend_from_slice(kept);
        let excess = self.bytes.len().saturating_sub(TAIL_BYTES);
        self.bytes.drain(..excess);
    }

    /// Returns the token count that the usage states; 0 if there is none.
    pub fn tokens(&self) -> TokenCount {
        let starts = self.bytes.windows(COUNT_FIELD.len());
        let Some(start) = starts.clone().rposition(|window| window == COUNT_FIELD) else {
            return 0;
        };
        let digits = self.bytes[start + COUNT_FIELD.len()..]
            .iter()
            .skip_while(|byte| byte.is_ascii_whitespace())
            .take_while(|byte| byte.is_ascii_digit());
        digits.fold(0, |count: TokenCount, digit| {
            count
                .saturating_mul(10)
                .saturating_add(TokenCount::from(digit - b'0'))
        })
    }
}
