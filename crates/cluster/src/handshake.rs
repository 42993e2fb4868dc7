//! Mutual authentication at the start of a peer connection.
//!
//! Both sides send a fresh nonce and prove with a keyed hash over both nonces that they share a
//! key; the responder proves it first. Nothing else is read from a connection before that. The
//! handshake authenticates both sides only when the connection opens: later traffic is neither
//! encrypted nor signed, so peers belong on a private network of the operator.

use {
    crate::{
        HandshakeError, PeerKey, PeerKeys,
        error::{IoSnafu, NoCommonKeySnafu, ProtocolSnafu, TimedOutSnafu},
    },
    snafu::{OptionExt, ResultExt, ensure},
    std::{future::Future, time::Duration},
    subtle::ConstantTimeEq,
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        time,
    },
};

/// First bytes of a connection: name and version of the protocol.
const MAGIC: [u8; 8] = *b"RATPEER1";
const NONCE_BYTES: usize = 32;
/// Timeout of the whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; blake3::OUT_LEN];

/// Side of a connection. It is part of the proof, so that a proof cannot be reflected to the side
/// that made it.
#[derive(Clone, Copy)]
enum Role {
    Initiator,
    Responder,
}

struct Nonces {
    initiator: Nonce,
    responder: Nonce,
}

/// Authenticates a connection as the side that opened it.
///
/// # Errors
/// [`HandshakeError`]; drop the connection.
pub async fn open<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    with_timeout(initiate(stream, keys)).await
}

/// Authenticates a connection as the side that accepted it.
///
/// # Errors
/// [`HandshakeError`]; close the connection.
pub async fn accept<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    with_timeout(respond(stream, keys)).await
}

async fn with_timeout<Handshake>(handshake: Handshake) -> Result<(), HandshakeError>
where
    Handshake: Future<Output = Result<(), HandshakeError>>,
{
    time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .ok()
        .context(TimedOutSnafu)?
}

async fn initiate<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    let initiator: Nonce = rand::random();
    stream.write_all(&MAGIC).await.context(IoSnafu)?;
    stream.write_all(&initiator).await.context(IoSnafu)?;
    let responder: Nonce = read_array(stream).await?;
    let peer_proof: Proof = read_array(stream).await?;
    let nonces = Nonces {
        initiator,
        responder,
    };
    let key =
        verify_proof(keys, Role::Responder, &nonces, &peer_proof).context(NoCommonKeySnafu)?;
    let own_proof = compute_proof(key, Role::Initiator, &nonces);
    stream.write_all(&own_proof).await.context(IoSnafu)
}

async fn respond<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; MAGIC.len()] = read_array(stream).await?;
    ensure!(magic == MAGIC, ProtocolSnafu);
    let initiator: Nonce = read_array(stream).await?;
    let responder: Nonce = rand::random();
    let nonces = Nonces {
        initiator,
        responder,
    };
    let own_proof = compute_proof(keys.first(), Role::Responder, &nonces);
    stream.write_all(&responder).await.context(IoSnafu)?;
    stream.write_all(&own_proof).await.context(IoSnafu)?;
    let peer_proof: Proof = read_array(stream).await?;
    verify_proof(keys, Role::Initiator, &nonces, &peer_proof).context(NoCommonKeySnafu)?;
    Ok(())
}

async fn read_array<Stream, const LENGTH: usize>(
    stream: &mut Stream,
) -> Result<[u8; LENGTH], HandshakeError>
where
    Stream: AsyncRead + Unpin,
{
    let mut bytes = [0; LENGTH];
    stream.read_exact(&mut bytes).await.context(IoSnafu)?;
    Ok(bytes)
}

/// Returns the key with which the proof was made. Tries every key even after a match, so that the
/// time taken does not reveal which key matched.
fn verify_proof<'a>(
    keys: &'a PeerKeys,
    role: Role,
    nonces: &Nonces,
    peer_proof: &Proof,
) -> Option<&'a PeerKey> {
    keys.iter()
        .filter(|key| bool::from(compute_proof(key, role, nonces).ct_eq(peer_proof)))
        .last()
}

fn compute_proof(key: &PeerKey, role: Role, nonces: &Nonces) -> Proof {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    hasher.update(match role {
        Role::Initiator => b"opening",
        Role::Responder => b"accepting",
    });
    hasher.update(&nonces.initiator);
    hasher.update(&nonces.responder);
    *hasher.finalize().as_bytes()
}
