//! A connection to another instance, which is replaced when it fails.

use {
    crate::{
        FeedError,
        error::{CallSnafu, ConnectSnafu, TimedOutSnafu},
        service::FeedServiceClient,
    },
    cluster::transport,
    snafu::ResultExt,
    socket2::SockRef,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tarpc::{
        client::{self, RpcError},
        context::{self, Context},
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time that bytes sent to an instance may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection to one instance, opened with the first call.
#[derive(Debug)]
pub(crate) struct Connection {
    peer: SocketAddr,
    client: Option<FeedServiceClient>,
}

impl Connection {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self { peer, client: None }
    }

    /// Calls the instance by `call`, which gets the client and the context of the call. Fails if
    /// there is no answer within `answer_timeout`.
    pub(crate) async fn call<Call, Answer>(
        &mut self,
        answer_timeout: Duration,
        call: Call,
    ) -> Result<Answer, FeedError>
    where
        Call: AsyncFnOnce(&FeedServiceClient, Context) -> Result<Answer, RpcError>,
    {
        let peer = self.peer;
        let client = match self.client.take() {
            Some(client) => client,
            None => connect(peer).await?,
        };
        let mut context = context::current();
        context.deadline = Instant::now() + answer_timeout;
        let answer = timeout(answer_timeout, call(&client, context)).await;
        let Ok(answer) = answer else {
            return TimedOutSnafu { peer }.fail();
        };
        let answer = answer.context(CallSnafu { peer })?;
        // The connection is kept only after an answer. One that failed or timed out is not reused.
        self.client = Some(client);
        Ok(answer)
    }

    /// Whether the next call uses a connection that has answered before.
    pub(crate) fn is_open(&self) -> bool {
        self.client.is_some()
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
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .context(ConnectSnafu { peer })?;
    Ok(FeedServiceClient::new(client::Config::default(), transport(stream)).spawn())
}
