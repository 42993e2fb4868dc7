//! Mutual authentication at the start of a peer connection.
//!
//! Both ends send a fresh nonce and prove by a keyed hash over both nonces that they hold a key in
//! common; the accepting end proves first. Nothing else is read from a connection before that.
//! This proves who opened the connection; what follows is neither encrypted nor signed, so peers
//! belong on a network of the operator's own.

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

/// First bytes of a connection: the protocol and its version.
const MAGIC: [u8; 8] = *b"RATPEER1";
const NONCE_BYTES: usize = 32;
/// Bound on the whole exchange.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

type Nonce = [u8; NONCE_BYTES];
type Proof = [u8; blake3::OUT_LEN];

/// The end that a proof comes from, so that a proof cannot be sent back to its maker.
#[derive(Clone, Copy)]
enum End {
    Opening,
    Accepting,
}

struct Nonces {
    opening: Nonce,
    accepting: Nonce,
}

/// Authenticates the connection from the end that opened it.
///
/// # Errors
/// [`HandshakeError`]; the connection is of no use then.
pub async fn open<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    bounded(open_unbounded(stream, keys)).await
}

/// Authenticates the connection from the end that accepted it.
///
/// # Errors
/// [`HandshakeError`]; close the connection then.
pub async fn accept<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    bounded(accept_unbounded(stream, keys)).await
}

async fn bounded<Exchange>(exchange: Exchange) -> Result<(), HandshakeError>
where
    Exchange: Future<Output = Result<(), HandshakeError>>,
{
    time::timeout(HANDSHAKE_TIMEOUT, exchange)
        .await
        .ok()
        .context(TimedOutSnafu)?
}

async fn open_unbounded<Stream>(stream: &mut Stream, keys: &PeerKeys) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    let opening: Nonce = rand::random();
    stream.write_all(&MAGIC).await.context(IoSnafu)?;
    stream.write_all(&opening).await.context(IoSnafu)?;
    let accepting: Nonce = read(stream).await?;
    let theirs: Proof = read(stream).await?;
    let nonces = Nonces { opening, accepting };
    let key = matching(keys, End::Accepting, &nonces, &theirs).context(NoCommonKeySnafu)?;
    let ours = proof(key, End::Opening, &nonces);
    stream.write_all(&ours).await.context(IoSnafu)
}

async fn accept_unbounded<Stream>(
    stream: &mut Stream,
    keys: &PeerKeys,
) -> Result<(), HandshakeError>
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; MAGIC.len()] = read(stream).await?;
    ensure!(magic == MAGIC, ProtocolSnafu);
    let opening: Nonce = read(stream).await?;
    let accepting: Nonce = rand::random();
    let nonces = Nonces { opening, accepting };
    let ours = proof(keys.first(), End::Accepting, &nonces);
    stream.write_all(&accepting).await.context(IoSnafu)?;
    stream.write_all(&ours).await.context(IoSnafu)?;
    let theirs: Proof = read(stream).await?;
    matching(keys, End::Opening, &nonces, &theirs).context(NoCommonKeySnafu)?;
    Ok(())
}

async fn read<Stream, const LENGTH: usize>(
    stream: &mut Stream,
) -> Result<[u8; LENGTH], HandshakeError>
where
    Stream: AsyncRead + Unpin,
{
    let mut bytes = [0; LENGTH];
    stream.read_exact(&mut bytes).await.context(IoSnafu)?;
    Ok(bytes)
}

/// The key that made the proof. Every key is tried, whatever the outcome of the earlier ones.
fn matching<'a>(
    keys: &'a PeerKeys,
    end: End,
    nonces: &Nonces,
    theirs: &Proof,
) -> Option<&'a PeerKey> {
    keys.iter()
        .filter(|key| bool::from(proof(key, end, nonces).ct_eq(theirs)))
        .last()
}

fn proof(key: &PeerKey, end: End, nonces: &Nonces) -> Proof {
    let mut hasher = blake3::Hasher::new_keyed(key.bytes());
    hasher.update(match end {
        End::Opening => b"opening",
        End::Accepting => b"accepting",
    });
    hasher.update(&nonces.opening);
    hasher.update(&nonces.accepting);
    *hasher.finalize().as_bytes()
}
