//! Waiting for admission.

use {
    admission::{Admission, Limits, OfferOutcome, Refused, Ticket},
    catalog::{ClientAccount, ClientAccountId},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep},
};

/// Lets requests in by [`Admission`]; those that are queued wait without a thread. Clones share it.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    queue: Arc<Mutex<Queue>>,
    max_wait: Duration,
}

#[derive(Debug)]
struct Queue {
    admission: Admission,
    waiting: HashMap<Ticket, (ClientAccountId, Turn)>,
}

/// Hands a waiting request its pass or its refusal.
type Turn = oneshot::Sender<Result<Permit, Refused>>;

/// An admitted request, until dropped.
#[derive(Debug)]
pub struct Permit {
    gate: AdmissionQueue,
    account: ClientAccountId,
    since: Instant,
}

/// A queued request; leaves the queue when dropped before its turn.
struct Waiter<'a> {
    gate: &'a AdmissionQueue,
    ticket: Ticket,
}

impl AdmissionQueue {
    /// A gate without requests.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let queue = Queue {
            admission: Admission::new(limits, Instant::now()),
            waiting: HashMap::new(),
        };
        Self {
            queue: Arc::new(Mutex::new(queue)),
            max_wait: limits.max_wait,
        }
    }

    /// Changes how many requests may run at once, for example after targets came or went.
    pub fn set_max_running(&self, max_running_count: u32) {
        let limits = Limits {
            max_running_count,
            max_wait: self.max_wait,
            ..Limits::default()
        };
        self.lock().admission.set_limits(limits);
        self.start_next(Instant::now());
    }

    /// Waits until a request of `cost_tokens` prompt and answer tokens may run.
    ///
    /// # Errors
    /// [`Refused`] at once if a limit is exhausted or the expected wait is too long, or after that
    /// wait if requests end more slowly than was expected.
    pub async fn admit(
        &self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
    ) -> Result<Permit, Refused> {
        let (ticket, turn) = {
            let mut queue = self.lock();
            let now = Instant::now();
            match queue.admission.offer(account, cost_tokens, priority, now) {
                OfferOutcome::Admitted => return Ok(self.pass(account)),
                OfferOutcome::Refused(refused) => return Err(refused),
                OfferOutcome::Queued(ticket) => {
                    let (sender, turn) = oneshot::channel();
                    queue.waiting.insert(ticket, (account.name.clone(), sender));
                    (ticket, turn)
                }
            }
        };
        let waiter = Waiter { gate: self, ticket };
        let turn = self.wait(turn).await;
        drop(waiter);
        turn
    }

    /// Requests that run and requests that wait.
    #[must_use]
    pub fn counts(&self) -> (u32, usize) {
        let queue = self.lock();
        let admission = &queue.admission;
        (admission.running_count(), admission.waiting_count())
    }

    async fn wait(
        &self,
        mut turn: oneshot::Receiver<Result<Permit, Refused>>,
    ) -> Result<Permit, Refused> {
        loop {
            tokio::select! {
                turn = &mut turn => return turn.unwrap_or_else(|_| Err(self.closed())),
                () = sleep(self.max_wait) => self.refuse_expired(),
            }
        }
    }

    fn closed(&self) -> Refused {
        Refused {
            limit: "the queue of this instance".to_owned(),
            retry_after: self.max_wait,
        }
    }

    fn refuse_expired(&self) {
        let mut queue = self.lock();
        for (ticket, refused) in queue.admission.refuse_expired(Instant::now()) {
            if let Some((_, sender)) = queue.waiting.remove(&ticket) {
                // A caller that is gone needs no answer.
                let _ = sender.send(Err(refused));
            }
        }
    }

    fn pass(&self, account: &ClientAccount) -> Permit {
        Permit {
            gate: self.clone(),
            account: account.name.clone(),
            since: Instant::now(),
        }
    }

    /// Ends an admitted request and lets in those whose turn it is.
    fn leave(&self, account: &ClientAccountId, since: Instant) {
        let now = Instant::now();
        let ran = now.saturating_duration_since(since);
        self.lock().admission.release(account, ran, now);
        self.start_next(now);
    }

    fn start_next(&self, now: Instant) {
        let turns: Vec<(ClientAccountId, Turn)> = {
            let mut queue = self.lock();
            let tickets = queue.admission.start_waiting(now);
            tickets
                .iter()
                .filter_map(|ticket| queue.waiting.remove(ticket))
                .collect()
        };
        for (account, turn) in turns {
            // A pass that nobody receives is dropped here, which lets in the next request.
            let _ = turn.send(Ok(Permit {
                gate: self.clone(),
                account,
                since: now,
            }));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.leave(&self.account, self.since);
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut queue = self.gate.lock();
        if queue.waiting.remove(&self.ticket).is_some() {
            queue.admission.cancel(self.ticket);
        }
    }
}
