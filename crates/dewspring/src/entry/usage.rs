//! Reads the number of generated tokens from the end of a plain JSON answer.
//!
//! The answer itself is passed on as it comes and never collected; only its
//! last bytes are kept, where engines put the usage.

use crate::ids::TokenCount;

/// Number of bytes at the end of an answer that are looked at.
const TAIL_BYTES: usize = 1024;

const COUNT_MARK: &[u8] = b"\"completion_tokens\":";

/// The end of an answer so far.
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
    /// Takes the next bytes of the answer in.
    pub fn push(&mut self, piece: &[u8]) {
        let kept = &piece[piece.len().saturating_sub(TAIL_BYTES)..];
        self.bytes.extend_from_slice(kept);
        let excess = self.bytes.len().saturating_sub(TAIL_BYTES);
        self.bytes.drain(..excess);
    }

    /// Returns the tokens that the answer's usage names; 0 if it names none.
    pub fn tokens(&self) -> TokenCount {
        let starts = self.bytes.windows(COUNT_MARK.len());
        let Some(start) = starts.clone().rposition(|window| window == COUNT_MARK) else {
            return 0;
        };
        let digits = self.bytes[start + COUNT_MARK.len()..]
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
