//! Mutual challenge-response handshake at the start of each connection.
//!
//! Both sides prove that they know the fleet's shared secret, which itself is
//! never sent. All three messages have a fixed length, so nothing is parsed
//! before authentication. Later frames are neither encrypted nor authenticated.

use std::hash::Hasher;
use std::io;

use siphasher::sip128::{Hasher128, SipHasher24};
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::settings::SharedSecret;

/// Protocol name and version, the first bytes that the acceptor sends.
const MAGIC: [u8; 8] = *b"dewpeer2";

/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 16;

/// Length of a proof in bytes.
const PROOF_BYTES: usize = 16;

/// Role of the connecting side, hashed into its proof.
///
/// The roles differ so that a proof can't be reflected to the side that made it.
const CONNECTOR_ROLE: u8 = b'c';

/// Role of the accepting side, hashed into its proof.
const ACCEPTOR_ROLE: u8 = b'a';

/// Random value that is used for one connection only.
type Nonce = [u8; NONCE_BYTES];

/// Keyed hash of the protocol, the role and both nonces.
type Proof = [u8; PROOF_BYTES];

/// Why a handshake failed.
#[derive(Debug, Error)]
pub(super) enum HandshakeError {
    /// The remote side doesn't speak this protocol in this version.
    #[error("the remote side doesn't speak this protocol version")]
    BadMagic,
    /// The remote side doesn't know the secret.
    #[error("the remote side doesn't know the shared secret")]
    BadProof,
    /// Reading or writing failed.
    #[error("I/O error: {0}")]
    Io(#[from] io::Error),
}

/// Key of all proofs, derived from the fleet's shared secret.
pub(super) struct ProofKey([u8; 16]);

impl ProofKey {
    /// Derives the key from a secret.
    pub(super) fn new(secret: &SharedSecret) -> Self {
        let hasher = SipHasher24::new_with_key(b"dewspring secret");
        ProofKey(hasher.hash(secret.as_bytes()).as_bytes())
    }

    fn prove(&self, role: u8, acceptor: &Nonce, connector: &Nonce) -> Proof {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&MAGIC);
        hasher.write_u8(role);
        hasher.write(acceptor);
        hasher.write(connector);
        hasher.finish128().as_bytes()
    }
}

/// Runs the accepting side: verifies the connector's proof, then sends its own.
pub(super) async fn accept_handshake(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &ProofKey,
) -> Result<(), HandshakeError> {
    let own: Nonce = rand::random();
    let mut challenge = [0; MAGIC.len() + NONCE_BYTES];
    challenge[..MAGIC.len()].copy_from_slice(&MAGIC);
    challenge[MAGIC.len()..].copy_from_slice(&own);
    stream.write_all(&challenge).await?;
    let mut nonce = Nonce::default();
    let mut proof = Proof::default();
    stream.read_exact(&mut nonce).await?;
    stream.read_exact(&mut proof).await?;
    verify_proof(&proof, &key.prove(CONNECTOR_ROLE, &own, &nonce))?;
    let reply = key.prove(ACCEPTOR_ROLE, &own, &nonce);
    stream.write_all(&reply).await?;
    Ok(())
}

/// Runs the connecting side: sends a proof, then verifies the acceptor's one.
pub(super) async fn initiate_handshake(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &ProofKey,
) -> Result<(), HandshakeError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(HandshakeError::BadMagic);
    }
    let mut nonce = Nonce::default();
    stream.read_exact(&mut nonce).await?;
    let own: Nonce = rand::random();
    let mut response = [0; NONCE_BYTES + PROOF_BYTES];
    response[..NONCE_BYTES].copy_from_slice(&own);
    response[NONCE_BYTES..].copy_from_slice(&key.prove(CONNECTOR_ROLE, &nonce, &own));
    stream.write_all(&response).await?;
    let mut proof = Proof::default();
    stream.read_exact(&mut proof).await?;
    verify_proof(&proof, &key.prove(ACCEPTOR_ROLE, &nonce, &own))
}

/// Compares two proofs in constant time.
fn verify_proof(received: &Proof, expected: &Proof) -> Result<(), HandshakeError> {
    if bool::from(received.ct_eq(expected)) {
        Ok(())
    } else {
        Err(HandshakeError::BadProof)
    }
}
