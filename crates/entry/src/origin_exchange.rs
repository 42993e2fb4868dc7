//! Keeps the origins of streams at other instances, and asks them for those that this one lacks.

use {
    crate::shared::Shared,
    balance::rendezvous::member_seed,
    feed::OriginClient,
    futures::{StreamExt, stream::FuturesUnordered},
    origins::{
        ASKED_COUNT, HOLDERS_COUNT, OriginKnowledge, OriginRecord, StreamKey, has_holder_answered,
        holders,
    },
    relay::{OriginQuestion, OriginRequests, ToldOrigin},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    supervisor::ChildResult,
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
        time::timeout_at,
    },
    tokio_util::sync::CancellationToken,
};

/// Number of requests that may wait for one instance.
const MAX_WAITING_COUNT: usize = 1_024;
/// Number of requests that are sent to an instance in one call.
const MAX_BATCH_COUNT: usize = 256;

/// Handles the requests of the relay until `token` is cancelled.
pub(crate) async fn run<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Send + Sync + 'static,
{
    let mut requests = shared.relay_state.stream_origins.requests().await;
    let OriginRequests { records, questions } = &mut *requests;
    let mut peers = Peers::default();
    loop {
        let changed = shared.changed.notified();
        peers.replace(other_instances(&shared));
        tokio::pin!(changed);
        loop {
            tokio::select! {
                () = token.cancelled() => return Ok(()),
                () = &mut changed => break,
                Some(record) = records.recv() => peers.keep(&record),
                Some(question) = questions.recv() => peers.ask(question),
            }
        }
    }
}

/// The other ready instances, each with its rendezvous seed and the address of its feed.
fn other_instances<Kv, Format>(shared: &Shared<Kv, Format>) -> Vec<(u64, SocketAddr)> {
    let others = shared.other_feeds().into_iter();
    others
        .map(|(name, address)| (member_seed(&name), address))
        .collect()
}

/// A request to one instance.
#[derive(Debug)]
enum Request {
    /// To keep an origin.
    Keep(OriginRecord),
    /// To tell an origin.
    Tell(StreamKey, oneshot::Sender<OriginKnowledge>),
}

/// The other instances, with a task for each that has been sent a request.
#[derive(Debug, Default)]
struct Peers {
    instances: Vec<(u64, SocketAddr)>,
    senders: HashMap<SocketAddr, mpsc::Sender<Request>>,
    tasks: JoinSet<()>,
}

impl Peers {
    fn replace(&mut self, instances: Vec<(u64, SocketAddr)>) {
        self.senders
            .retain(|address, _| instances.iter().any(|(_, it)| it == address));
        self.instances = instances;
        while self.tasks.try_join_next().is_some() {}
    }

    fn keep(&mut self, record: &OriginRecord) {
        for address in holders(record.key, &self.instances, HOLDERS_COUNT) {
            self.send(address, Request::Keep(record.clone()));
        }
    }

    /// Passes a question on to the holders of its key. The first that knows the stream answers it, or else all that
    /// answer in time.
    fn ask(&mut self, question: OriginQuestion) {
        let mut answers = FuturesUnordered::new();
        let deadline = question.deadline.into();
        for address in holders(question.key, &self.instances, ASKED_COUNT) {
            let (sender, answer) = oneshot::channel();
            self.send(address, Request::Tell(question.key, sender));
            answers.push(answer);
        }
        self.tasks.spawn(async move {
            let asked_count = answers.len();
            let (mut known, mut answered_count) = (OriginKnowledge::Unknown, 0);
            while known == OriginKnowledge::Unknown
                && let Ok(Some(answer)) = timeout_at(deadline, answers.next()).await
            {
                // An instance that does not answer knows nothing.
                if let Ok(answer) = answer {
                    known = answer;
                    answered_count += 1;
                }
            }
            let told = ToldOrigin {
                known,
                has_holder_answered: has_holder_answered(asked_count, answered_count),
            };
            // The call may have ended.
            let _ = question.answer.send(told);
        });
    }

    fn send(&mut self, address: SocketAddr, request: Request) {
        let sender = self.senders.entry(address).or_insert_with(|| {
            let (sender, requests) = mpsc::channel(MAX_WAITING_COUNT);
            self.tasks.spawn(serve_peer(address, requests));
            sender
        });
        if let Err(error) = sender.try_send(request) {
            log::warn!("{address} is not sent the origin of a stream, or asked for one: {error}");
        }
    }
}

/// Sends the requests to one instance, in batches, until its sender is dropped.
async fn serve_peer(address: SocketAddr, mut requests: mpsc::Receiver<Request>) {
    let mut client = OriginClient::new(address);
    let mut batch = Vec::new();
    while requests.recv_many(&mut batch, MAX_BATCH_COUNT).await > 0 {
        let (mut records, mut keys, mut answers) = (Vec::new(), Vec::new(), Vec::new());
        for request in batch.drain(..) {
            match request {
                Request::Keep(record) => records.push(record),
                Request::Tell(key, answer) => {
                    keys.push(key);
                    answers.push(answer);
                }
            }
        }
        match client.exchange(&records, &keys).await {
            Ok(known) => {
                for (answer, known) in answers.into_iter().zip(known) {
                    // The call may have ended.
                    let _ = answer.send(known);
                }
            }
            // The other holders have the records too, and their answers count.
            Err(error) => log::info!(
                "{} origins of streams not sent, {} not asked for: {error}",
                records.len(),
                keys.len()
            ),
        }
    }
}
