//! A plain service that answers with neither a length nor chunks may have run its call: nothing shows that its
//! answer is whole, so it is neither passed on nor stored.

mod support;

use {
    catalog::{Catalog, Labels, ServiceCall, Target, TargetKind},
    decision::{Outcome, Step},
    gateway::{Refusal, RefusalKind, ServiceJob, ServiceResponse},
    keyvalue::MemoryKv,
    serving::{NoPeers, RequestHandler},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
    },
    support::ACCOUNT,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const SERVICE: &str = "cut-orders";
const REMEDY: &str = "have the target send a length or chunks";

/// A plain service that answers every call with half a body, and an instance before it.
struct System {
    handler: RequestHandler<MemoryKv, NoPeers>,
    runs_count: Arc<AtomicU32>,
}

impl System {
    async fn start() -> Self {
        let runs_count = Arc::default();
        let address = start_service(Arc::clone(&runs_count)).await;
        let handler = support::handler(catalog(address), MemoryKv::new());
        Self {
            handler,
            runs_count,
        }
    }

    async fn call(&self, path: &str, key: Option<&str>) -> Result<ServiceResponse, Refusal> {
        let job = ServiceJob {
            request: "r1".to_owned(),
            client_account: ACCOUNT.to_owned(),
            service: SERVICE.to_owned(),
            path: path.to_owned(),
            body: "slab 4711".into(),
            idempotency_key: key.map(str::to_owned),
            ..ServiceJob::default()
        };
        self.handler.call_service(job).await
    }

    fn runs_count(&self) -> u32 {
        self.runs_count.load(Ordering::SeqCst)
    }
}

/// Starts a service that counts its calls and ends each answer with its connection.
async fn start_service(runs_count: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            runs_count.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf").await;
        }
    });
    address
}

fn catalog(service: SocketAddr) -> Catalog {
    let mut catalog = support::catalog();
    let target = Target {
        name: "service-1".to_owned(),
        kind: TargetKind::Service,
        address: service,
        region: "almaty".to_owned(),
        failure_domain: "almaty-1".to_owned(),
        labels: Labels::new(),
        leaving: false,
        checks_fencing: false,
        max_running_count: 8,
        link_bytes_per_s: 0,
        capacity_bytes: 0,
        service: SERVICE.to_owned(),
        calls: vec![ServiceCall {
            path: "/status".to_owned(),
            idempotent: true,
        }],
    };
    catalog.targets.insert(target.name.clone(), target);
    catalog
}

/// Checks that a call failed as one that may have run, with what its service has to change.
fn assert_may_have_run(refusal: &Refusal) {
    assert_eq!(refusal.kind, RefusalKind::TargetFailed, "{refusal}");
    assert_eq!(refusal.outcome, Outcome::Unknown, "{refusal}");
    assert!(refusal.message.contains(REMEDY), "{refusal}");
}

/// Guards against half an answer that is stored with its claim, and against a second run.
#[tokio::test]
async fn claimed_call_with_an_unframed_answer_stays_unknown() {
    let system = System::start().await;
    let refusal = system.call("/order", Some("job-4711")).await;
    assert_may_have_run(&refusal.expect_err("no whole answer"));
    let repeated = system.call("/order", Some("job-4711")).await;
    let repeated = repeated.expect_err("no answer to replay");
    assert_eq!(repeated.kind, RefusalKind::Conflict, "{repeated}");
    assert_eq!(repeated.outcome, Outcome::Unknown, "{repeated}");
    assert!(repeated.message.contains("got no answer"), "{repeated}");
    assert_eq!(system.runs_count(), 1);
}

#[tokio::test]
async fn idempotent_call_with_an_unframed_answer_fails_as_unknown() {
    let system = System::start().await;
    let refusal = system.call("/status", None).await;
    assert_may_have_run(&refusal.expect_err("no whole answer"));
}

#[tokio::test]
async fn record_of_the_call_says_what_its_service_has_to_change() {
    let system = System::start().await;
    let _ = system.call("/order", Some("job-4711")).await;
    let record = system.handler.records().get(&"r1".to_owned());
    let steps = record.expect("a record").steps;
    let is_explained = |step: &Step| matches!(step, Step::Attempt { outcome: Outcome::Unknown, error, .. } if error.contains(REMEDY));
    assert!(steps.iter().any(is_explained), "{steps:?}");
}

/// Guards against a call that needs a key only because it has a query.
#[tokio::test]
async fn queries_leave_a_call_idempotent() {
    let system = System::start().await;
    let refusal = system.call("/status?job=4711", None).await.unwrap_err();
    assert_may_have_run(&refusal);
    let refusal = system.call("/status/?job=4711", None).await.unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Invalid, "{refusal}");
}
