//! Reads the feed of another instance.

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

/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(700);
/// Longest time for an answer besides what the call waits.
const ANSWER_TIME: Duration = Duration::from_millis(800);

/// Reads the feed of one instance, over one connection that is replaced when it fails.
#[derive(Debug)]
pub struct FeedReader {
    peer: SocketAddr,
    client: Option<FeedServiceClient>,
}

impl FeedReader {
    /// A reader of the instance at `peer`; connects with the first call.
    #[must_use]
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer, client: None }
    }

    /// What the instance learned since `since`, or its whole state; it waits up to `wait` for
    /// something to tell.
    ///
    /// # Errors
    /// [`FeedError`] if it can't be read now; call again.
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
        let bound = wait + ANSWER_TIME;
        let mut context = context::current();
        context.deadline = Instant::now() + bound;
        let answer = timeout(bound, client.read(context, since, wait)).await;
        let batch = answer.ok().map(|answer| answer.context(CallSnafu { peer }));
        let batch = batch.unwrap_or_else(|| TimedOutSnafu { peer }.fail())?;
        // Kept only after an answer: one that failed or stays silent is not used again.
        self.client = Some(client);
        Ok(batch)
    }
}

async fn connect(peer: SocketAddr) -> Result<FeedServiceClient, FeedError> {
    let stream = timeout(CONNECT_TIME, TcpStream::connect(peer)).await;
    let Ok(stream) = stream else {
        return TimedOutSnafu { peer }.fail();
    };
    let stream = stream.context(ConnectSnafu { peer })?;
    stream.set_nodelay(true).context(ConnectSnafu { peer })?;
    SockRef::from(&stream)
        .set_tcp_user_timeout(Some(ANSWER_TIME))
        .context(ConnectSnafu { peer })?;
    Ok(FeedServiceClient::new(client::Config::default(), transport(stream)).spawn())
}
