//! Measures the cost of requests for the entry daemon that serves them.

use {
    crate::{
        changes::kv_calls,
        daemon::settings,
        series::Series,
        support::{
            http::Connection,
            objects::{CALLER_KEY, MODEL, SERVICE},
            test_system::TestSystem,
        },
        usage::{cpu_s, resident_bytes},
    },
    http_body_util::BodyExt,
    hyper::Method,
    serde_json::{Value, json},
    std::{
        io,
        time::{Duration, Instant},
    },
    tokio_util::task::TaskTracker,
};

/// Number of requests per size.
const REQUESTS_COUNT: usize = 400;
/// Number of connections for these requests.
const CONNECTIONS_COUNT: usize = 20;
/// Answer tokens of a stream that stays open during the measurement.
const LONG_ANSWER_TOKENS: usize = 200;

/// Measures CPU time by answer tokens, memory by open streams, and key-value calls and CPU time by
/// rate of claimed calls.
pub async fn measure() -> io::Result<Vec<Series>> {
    let mut rows = tokens().await?;
    rows.push(streams().await?);
    rows.extend(claims().await?);
    Ok(rows)
}

async fn tokens() -> io::Result<Vec<Series>> {
    let mut cpu = Series::new("front: cpu us a request", "answer tokens");
    let mut settings = settings()?;
    settings.entries_count = 1;
    settings.engine.token_time = Duration::from_millis(1);
    let system = TestSystem::start(settings).await?;
    let pid = system.entries[0].id();
    for tokens_count in [16, 64, 256] {
        let idle = idle_cpu_s(pid).await?;
        let (before, started) = (cpu_s(pid)?, Instant::now());
        let body = completion(tokens_count);
        send_all(&system, "/v1/completions", &body).await?;
        let own = cpu_s(pid)? - before - idle * started.elapsed().as_secs_f64();
        cpu.add(tokens_count, own * 1e6 / REQUESTS_COUNT as f64);
    }
    Ok(vec![cpu])
}

async fn streams() -> io::Result<Series> {
    let mut memory = Series::new("front: resident bytes of the daemon", "open streams");
    for streams_count in [50, 100, 200] {
        let mut settings = settings()?;
        settings.entries_count = 1;
        settings.engine.token_time = Duration::from_millis(50);
        let system = TestSystem::start(settings).await?;
        let body = completion(LONG_ANSWER_TOKENS);
        let mut open = Vec::new();
        for _ in 0..streams_count {
            let mut caller = Connection::open(system.entries[0].address, CALLER_KEY).await?;
            open.push((
                caller.send(Method::POST, "/v1/completions", &body).await?,
                caller,
            ));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        memory.add(streams_count, resident_bytes(system.entries[0].id())?);
    }
    Ok(memory)
}

/// Measures calls that are not idempotent, and so need a claim, at several rates.
async fn claims() -> io::Result<Vec<Series>> {
    let mut calls = Series::new("claims: key-value calls/s", "claimed calls/s");
    let mut cpu = Series::new("claims: cpu us/s of the daemon", "claimed calls/s");
    let mut settings = settings()?;
    settings.entries_count = 1;
    let system = TestSystem::start(settings).await?;
    let pid = system.entries[0].id();
    for rate in [20, 50, 100, 200] {
        let (calls_before, cpu_before, started) = (kv_calls(&system), cpu_s(pid)?, Instant::now());
        claimed_calls(&system, rate).await?;
        let seconds = started.elapsed().as_secs_f64();
        calls.add(rate, (kv_calls(&system) - calls_before) / seconds);
        cpu.add(rate, (cpu_s(pid)? - cpu_before) * 1e6 / seconds);
    }
    Ok(vec![calls, cpu])
}

/// Sends calls that need a claim at a steady rate (per second) for three seconds.
async fn claimed_calls(system: &TestSystem, rate: usize) -> io::Result<()> {
    let (address, callers) = (system.entries[0].address, TaskTracker::new());
    let mut ticks =
        tokio::time::interval(Duration::from_secs(1) / u32::try_from(rate).unwrap_or(1));
    for index in 0..rate * 3 {
        ticks.tick().await;
        callers.spawn(async move {
            let mut caller = Connection::open(address, CALLER_KEY).await?;
            let key = format!("{rate}-{index}");
            caller.headers.push(("idempotency-key", key));
            let path = format!("/v1/services/{SERVICE}/book");
            caller.call(Method::POST, &path, &json!({})).await
        });
    }
    callers.close();
    callers.wait().await;
    Ok(())
}

/// Sends the requests over a fixed number of connections and reads every answer to its end.
async fn send_all(system: &TestSystem, path: &'static str, body: &Value) -> io::Result<()> {
    let callers = TaskTracker::new();
    let mut running = Vec::new();
    for _ in 0..CONNECTIONS_COUNT {
        let mut caller = Connection::open(system.entries[0].address, CALLER_KEY).await?;
        let body = body.clone();
        running.push(callers.spawn(async move {
            for _ in 0..REQUESTS_COUNT / CONNECTIONS_COUNT {
                let response = caller.send(Method::POST, path, &body).await?;
                let status = response.status();
                response
                    .into_body()
                    .collect()
                    .await
                    .map_err(io::Error::other)?;
                if !status.is_success() {
                    return Err(io::Error::other(format!("{path}: {status}")));
                }
            }
            Ok(())
        }));
    }
    for caller in running {
        caller.await??;
    }
    Ok(())
}

/// CPU time that the daemon spends per second without requests.
async fn idle_cpu_s(pid: u32) -> io::Result<f64> {
    let before = cpu_s(pid)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    Ok(cpu_s(pid)? - before)
}

fn completion(tokens_count: usize) -> Value {
    json!({
        "model": MODEL,
        "prompt": "which fault code matches",
        "max_tokens": tokens_count,
        "stream": true,
    })
}
