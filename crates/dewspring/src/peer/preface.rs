//! The proof of the fleet's secret with which each connection begins.
//!
//! Both sides prove that they know the secret, which itself is never sent.
//! All three messages have a fixed length, so nothing is parsed before the
//! proof. Later frames are neither encrypted nor authenticated.

use std::hash::Hasher;
use std::io;

use siphasher::sip128::{Hasher128, SipHasher24};
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::settings::SharedSecret;

/// Protocol and version, the first bytes of the acceptor.
const MAGIC: [u8; 8] = *b"dewpeer1";

/// Length of a nonce in bytes.
const NONCE_BYTES: usize = 16;

/// Length of a proof in bytes.
const PROOF_BYTES: usize = 16;

/// Says which side made a proof, so that none can be sent back to its maker.
const CONNECTOR_ROLE: u8 = b'c';

/// The other side's role.
const ACCEPTOR_ROLE: u8 = b'a';

/// Value that only one connection uses.
type PrefaceNonce = [u8; NONCE_BYTES];

/// Keyed hash over both nonces.
type PrefaceProof = [u8; PROOF_BYTES];

/// Why a connection was refused before its first frame.
#[derive(Debug, Error)]
pub(super) enum PrefaceError {
    /// The other side isn't a peer of this version.
    #[error("the other side doesn't speak this protocol")]
    BadMagic,
    /// The other side doesn't know the secret.
    #[error("the other side doesn't prove the secret")]
    BadProof,
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
}

/// The key of all proofs, made from the secret of the fleet.
pub(super) struct ProofKey([u8; 16]);

impl ProofKey {
    /// Returns the key of a secret.
    pub(super) fn new(secret: &SharedSecret) -> Self {
        let hasher = SipHasher24::new_with_key(b"dewspring secret");
        ProofKey(hasher.hash(secret.as_bytes()).as_bytes())
    }

    fn prove(&self, role: u8, acceptor: &PrefaceNonce, connector: &PrefaceNonce) -> PrefaceProof {
        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&MAGIC);
        hasher.write_u8(role);
        hasher.write(acceptor);
        hasher.write(connector);
        hasher.finish128().as_bytes()
    }
}

/// Lets a connector prove the secret, then proves it to the connector.
pub(super) async fn accept_preface(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &ProofKey,
) -> Result<(), PrefaceError> {
    let own: PrefaceNonce = rand::random();
    let mut challenge = [0; MAGIC.len() + NONCE_BYTES];
    challenge[..MAGIC.len()].copy_from_slice(&MAGIC);
    challenge[MAGIC.len()..].copy_from_slice(&own);
    stream.write_all(&challenge).await?;
    let mut nonce = PrefaceNonce::default();
    let mut proof = PrefaceProof::default();
    stream.read_exact(&mut nonce).await?;
    stream.read_exact(&mut proof).await?;
    check_proof(&proof, &key.prove(CONNECTOR_ROLE, &own, &nonce))?;
    let answer = key.prove(ACCEPTOR_ROLE, &own, &nonce);
    stream.write_all(&answer).await?;
    Ok(())
}

/// Proves the secret to an acceptor, then lets the acceptor prove it.
pub(super) async fn offer_preface(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &ProofKey,
) -> Result<(), PrefaceError> {
    let mut magic = [0; MAGIC.len()];
    stream.read_exact(&mut magic).await?;
    if magic != MAGIC {
        return Err(PrefaceError::BadMagic);
    }
    let mut nonce = PrefaceNonce::default();
    stream.read_exact(&mut nonce).await?;
    let own: PrefaceNonce = rand::random();
    let mut offer = [0; NONCE_BYTES + PROOF_BYTES];
    offer[..NONCE_BYTES].copy_from_slice(&own);
    offer[NONCE_BYTES..].copy_from_slice(&key.prove(CONNECTOR_ROLE, &nonce, &own));
    stream.write_all(&offer).await?;
    let mut proof = PrefaceProof::default();
    stream.read_exact(&mut proof).await?;
    check_proof(&proof, &key.prove(ACCEPTOR_ROLE, &nonce, &own))
}

/// Compares two proofs in constant time.
fn check_proof(offered: &PrefaceProof, expected: &PrefaceProof) -> Result<(), PrefaceError> {
    if bool::from(offered.ct_eq(expected)) {
        Ok(())
    } else {
        Err(PrefaceError::BadProof)
    }
}
