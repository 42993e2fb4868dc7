//! A plain service, as opposed to an engine. Its ledger lists every execution.

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer, Cut, header},
        server::{Role, Server},
        sync::lock,
    },
    hyper::{Method, Request, StatusCode, body::Incoming, header::HeaderValue},
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Settings of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time that one execution takes.
    pub run_time: Duration,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            run_time: Duration::ZERO,
        }
    }
}

/// Fault switches of a plain service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Number of calls whose connection is closed before they run.
    pub cut_before_run: u64,
    /// Number of calls that run but get no response.
    pub cut_after_run: u64,
    /// Number of calls that are refused with `503` and `x-outcome: not_run`.
    pub refuse: u64,
}

/// One execution of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Execution {
    /// Request id.
    pub request_id: String,
    /// Idempotency key; empty if none was sent.
    pub idempotency_key: String,
    /// Path of the request.
    pub path: String,
    /// Client account; empty if none was sent.
    pub client_account: String,
}

/// A plain service.
#[derive(Debug)]
pub struct Service {
    run_time: Duration,
    switches: FaultSwitches<ServiceFaults>,
    ledger: Mutex<Vec<Execution>>,
}

impl Service {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: ServiceSettings) -> io::Result<Server<Self>> {
        let service = Arc::new(Self {
            run_time: settings.run_time,
            switches: FaultSwitches::default(),
            ledger: Mutex::default(),
        });
        Server::start(settings.listen, service).await
    }

    /// All executions so far, in the order of their start.
    #[must_use]
    pub fn ledger(&self) -> Vec<Execution> {
        lock(&self.ledger).clone()
    }

    /// Records an execution and returns the number of executions with its request id.
    fn record_execution(&self, execution: Execution) -> usize {
        let mut ledger = lock(&self.ledger);
        ledger.push(execution);
        let request_id = &ledger[ledger.len() - 1].request_id;
        ledger
            .iter()
            .filter(|other| other.request_id == *request_id)
            .count()
    }

    /// Decrements the counter of a fault switch; true if it was above 0.
    fn consume_fault(&self, counter: fn(&mut ServiceFaults) -> &mut u64) -> bool {
        self.switches.update(|faults| {
            let left = counter(faults);
            let was_set = *left > 0;
            *left = left.saturating_sub(1);
            was_set
        })
    }

    async fn run(&self, request: Request<Incoming>) -> Answer {
        let execution = Execution {
            request_id: header(&request, "x-request-id"),
            idempotency_key: header(&request, "idempotency-key"),
            path: request.uri().path().to_owned(),
            client_account: header(&request, "x-client-account"),
        };
        http::read_bytes(request).await?;
        if self.consume_fault(|faults| &mut faults.cut_before_run) {
            return Err(Cut);
        }
        if self.consume_fault(|faults| &mut faults.refuse) {
            let mut refused = http::error(StatusCode::SERVICE_UNAVAILABLE, "refused")?;
            let outcome = HeaderValue::from_static("not_run");
            refused.headers_mut().insert("x-outcome", outcome);
            return Ok(refused);
        }
        let request_id = execution.request_id.clone();
        let path = execution.path.clone();
        let run_count = self.record_execution(execution);
        sleep(self.run_time).await;
        if self.consume_fault(|faults| &mut faults.cut_after_run) {
            return Err(Cut);
        }
        let body = json!({"request_id": request_id, "path": path, "run_count": run_count});
        let mut answer = http::ok(&body)?;
        if let Ok(value) = HeaderValue::from_str(&request_id) {
            answer.headers_mut().insert("x-request-id", value);
        }
        Ok(answer)
    }
}

impl Role for Service {
    type Faults = ServiceFaults;

    fn switches(&self) -> &FaultSwitches<ServiceFaults> {
        &self.switches
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/ledger") => http::ok(&self.ledger()),
            (&Method::GET, "/health") => http::empty(StatusCode::OK),
            (&Method::POST, _) => self.run(request).await,
            _ => http::not_found(),
        }
    }
}
