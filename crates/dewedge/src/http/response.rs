//! Which bytes follow a response head.
//!
//! Response heads of servers are parsed in [`super::head`], those for callers are
//! encoded here.

/// Method of the request that a response answers, as far as the response depends
/// on it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MethodKind {
    /// `HEAD`: the response has no content.
    Head,
    /// Any other method.
    Other,
    /// The request line wasn't received as far as the end of its method.
    #[default]
    Unknown,
}

impl MethodKind {
    /// Returns the kind of a method.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::http::MethodKind;
    ///
    /// assert_eq!(MethodKind::of("HEAD"), MethodKind::Head);
    /// // Methods are case-sensitive.
    /// assert_eq!(MethodKind::of("head"), MethodKind::Other);
    /// ```
    pub fn of(method: &str) -> Self {
        match method {
            "HEAD" => Self::Head,
            _ => Self::Other,
        }
    }

    /// Returns the kind of the method with which a request begins, which may be
    /// incomplete or malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::http::MethodKind;
    ///
    /// assert_eq!(MethodKind::of_request(b"\r\nHEAD /a"), MethodKind::Head);
    /// assert_eq!(MethodKind::of_request(b"HEAD"), MethodKind::Unknown);
    /// ```
    pub fn of_request(bytes: &[u8]) -> Self {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        let start = bytes.iter().take_while(|byte| is_line_end(byte)).count();
        let line = &bytes[start..];
        match line.iter().position(|byte| *byte == b' ') {
            Some(end) if &line[..end] == b"HEAD" => Self::Head,
            Some(_) => Self::Other,
            None => Self::Unknown,
        }
    }

    /// Returns the name of the kind, for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "HEAD",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}
