//! Authorization of operators' requests by the fleet's shared secret.

use subtle::ConstantTimeEq;

use crate::settings::SharedSecret;

const SCHEME: &[u8] = b"Bearer ";

/// Returns whether an `authorization` header contains the secret as bearer token.
///
/// The comparison takes constant time and reveals only the secret's length.
///
/// # Examples
///
/// ```
/// use dewspring::admin::is_authorized;
/// use dewspring::settings::SharedSecret;
///
/// let secret = SharedSecret::new("0123456789abcdef")?;
/// assert!(is_authorized(&secret, Some(b"Bearer 0123456789abcdef")));
/// assert!(!is_authorized(&secret, Some(b"Bearer 0123456789abcdee")));
/// assert!(!is_authorized(&secret, None));
/// # Ok::<(), dewspring::settings::SecretError>(())
/// ```
pub fn is_authorized(secret: &SharedSecret, header: Option<&[u8]>) -> bool {
    let Some(token) = header.and_then(|header| header.strip_prefix(SCHEME)) else {
        return false;
    };
    token.ct_eq(secret.as_bytes()).into()
}
