//! Answers of runs, as one JSON object or as server-sent events, and the faults of these answers.

use {
    super::{Engine, run::Run},
    crate::{
        http::{self, Answer, Cut, broken_connection},
        sync::lock,
    },
    bytes::Bytes,
    futures::{Stream, stream},
    hyper::{Response, header::CONTENT_TYPE},
    std::{future::pending, io, sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::timeout},
};

/// Longest time that the first of two swapped answers waits for the second.
const CROSS_TIMEOUT: Duration = Duration::from_secs(5);

/// The first of two answers to be swapped.
#[derive(Debug)]
pub(super) struct WaitingStream {
    run: Arc<Run>,
    partner: oneshot::Sender<Arc<Run>>,
}

/// Faults of one answer. Each is the index of the answer token at which it takes effect.
#[derive(Clone, Copy, Debug, Default)]
struct StreamFaults {
    cut: Option<u64>,
    silent: Option<u64>,
    repeat: Option<u64>,
}

/// One answer as server-sent events.
struct EventStream {
    run: Arc<Run>,
    next_index: u64,
    faults: StreamFaults,
    done: bool,
}

impl Engine {
    /// Streams the answer of a run, starting at answer token `from_token`.
    pub(super) async fn answer_stream(&self, run: Arc<Run>, from_token: u64) -> Answer {
        let run = self.swap_with_partner(run).await;
        let events = EventStream {
            run,
            next_index: from_token,
            faults: self.take_stream_faults(),
            done: false,
        };
        let mut response = Response::new(http::streamed(events.chunks()));
        response.headers_mut().insert(
            CONTENT_TYPE,
            hyper::header::HeaderValue::from_static("text/event-stream"),
        );
        Ok(response)
    }

    /// Waits for the end of a run and answers with one JSON object.
    pub(super) async fn answer_whole(&self, run: Arc<Run>) -> Answer {
        let run = self.swap_with_partner(run).await;
        let faults = self.take_stream_faults();
        if let Some(index) = faults.cut {
            run.token_ready(index.saturating_sub(1)).await;
            return Err(Cut);
        }
        if faults.silent.is_some() {
            pending::<()>().await;
        }
        if !run.token_ready(run.max_tokens - 1).await {
            return Err(Cut);
        }
        http::ok(&run.response_body())
    }

    fn take_stream_faults(&self) -> StreamFaults {
        self.switches.update(|faults| StreamFaults {
            cut: faults.cut_after_tokens.take(),
            silent: faults.silent_after_tokens.take(),
            repeat: faults.repeat_after_tokens.take(),
        })
    }

    /// The run whose content is sent: normally `run`. With the `cross_answers` switch, two answers
    /// wait for each other and swap their runs; after [`CROSS_TIMEOUT`] without a partner the
    /// answer keeps its own.
    async fn swap_with_partner(&self, run: Arc<Run>) -> Arc<Run> {
        if !self.switches.get().cross_answers {
            return run;
        }
        let waiting = lock(&self.waiting_stream).take();
        if let Some(first) = waiting {
            self.switches.update(|faults| faults.cross_answers = false);
            let other = Arc::clone(&first.run);
            return match first.partner.send(Arc::clone(&run)) {
                Ok(()) => other,
                Err(_) => run,
            };
        }
        let (partner, arrival) = oneshot::channel();
        *lock(&self.waiting_stream) = Some(WaitingStream {
            run: Arc::clone(&run),
            partner,
        });
        match timeout(CROSS_TIMEOUT, arrival).await {
            Ok(Ok(other)) => other,
            _ => run,
        }
    }
}

impl EventStream {
    fn chunks(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(self, |mut events| async move {
            let chunk = events.next().await?;
            Some((chunk, events))
        })
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.done {
            return None;
        }
        let index = self.next_index;
        if self.faults.cut == Some(index) {
            self.done = true;
            return Some(Err(broken_connection().await));
        }
        if self.faults.silent == Some(index) {
            pending::<()>().await;
        }
        if index >= self.run.max_tokens {
            self.done = true;
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        if !self.run.token_ready(index).await {
            self.done = true;
            return Some(Err(broken_connection().await));
        }
        if self.faults.repeat == Some(index) {
            self.faults.repeat = None;
        } else {
            self.next_index += 1;
        }
        let text = format!("data: {}\n\n", self.run.chunk(index));
        Some(Ok(text.into()))
    }
}
