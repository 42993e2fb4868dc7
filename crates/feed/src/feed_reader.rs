//! The client that reads the feed of another instance.

use {
    crate::{
        Batch, FeedError,
        error::{CallSnafu, ConnectSnafu, TimedOutSnafu},
        service::FeedServiceClient,
    },
    cluster::transport,
    parts::Position,
    snafu::ResultExt,
    socket2::SockRef,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tarpc::{client, context},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of an answer, in addition to the time for which the call lets the instance wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the feed of one instance over one connection, which is replaced when it fails.
#[derive(Debug)]
pub struct FeedReader {
    peer: SocketAddr,
    client: Option<FeedServiceClient>,
}

impl FeedReader {
    /// Creates a reader of the instance at `peer`. It connects with the first call.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer, client: None }
    }

    /// Returns what the instance has learned since `since`, or its whole state. If there are no
    /// changes, the instance waits up to `wait` for one before it answers.
    ///
    /// # Errors
    /// Returns [`FeedError`] if the feed cannot be read now; the call may be repeated.
    pub async fn read(
        &mut self,
        since: Option<Position>,
        wait: Duration,
    ) -> Result<Batch, FeedError> {
        let peer = self.peer;
        let client = match self.client.take() {
            Some(client) => client,
            None => connect(peer).await?,
        };
        let total_timeout = wait + ANSWER_TIMEOUT;
        let mut context = context::current();
        context.deadline = Instant::now() + total_timeout;
        let answer = timeout(total_timeout, client.read(context, since, wait)).await;
        let batch = answer.ok().map(|answer| answer.context(CallSnafu { peer }));
        let batch = batch.unwrap_or_else(|| TimedOutSnafu { peer }.fail())?;
        // The connection is kept only after an answer. One that failed or timed out is not reused.
        self.client = Some(client);
        Ok(batch)
    }
}

async fn connect(peer: SocketAddr) -> Result<FeedServiceClient, FeedError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let Ok(stream) = stream else {
        return TimedOutSnafu { peer }.fail();
    };
    let stream = stream.context(ConnectSnafu { peer })?;
    stream.set_nodelay(true).context(ConnectSnafu { peer })?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(ANSWER_TIMEOUT))
        .context(ConnectSnafu { peer })?;
    Ok(FeedServiceClient::new(client::Config::default(), transport(stream)).spawn())
}
