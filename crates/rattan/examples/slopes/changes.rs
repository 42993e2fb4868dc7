//! Measures the load of instances on the platform, and the time until a change is in force
//! everywhere.

use {
    crate::{
        daemon::{relayed_bytes, settings},
        series::Series,
        support::{
            http::Connection,
            objects::CALLER_KEY,
            test_system::{OPERATOR_KEY, TestSystem},
        },
        usage::{cpu_s, resident_bytes},
    },
    hyper::Method,
    serde_json::{Value, json},
    std::{
        io,
        time::{Duration, Instant},
    },
};

/// Length of the idle measurement.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Number of changes per size.
const CHANGES_COUNT: usize = 20;
/// Time between two checks whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Measures idle daemons, then daemons during configuration changes.
pub async fn measure() -> io::Result<Vec<Series>> {
    let size = "entry daemons";
    let mut rows = [
        Series::new("platform at rest: key-value calls/s of all daemons", size),
        Series::new("platform at rest: key-value bytes/s of all daemons", size),
        Series::new(
            "platform at rest: instance list bytes/s of all daemons",
            size,
        ),
        Series::new("daemon at rest: cpu us/s of one", size),
        Series::new("daemon at rest: resident bytes of one", size),
        Series::new("change: key-value calls for one", size),
        Series::new("change: key-value bytes for one", size),
        Series::new(
            "change: ms until in force at all daemons, worst of 20",
            size,
        ),
    ];
    for entries_count in [2, 4, 8, 16, 32] {
        let mut settings = settings()?;
        settings.entries_count = entries_count;
        let system = TestSystem::start(settings).await?;
        let rest = at_rest(&system).await?;
        let changing = under_changes(&system).await?;
        for (row, value) in rows.iter_mut().zip(rest.into_iter().chain(changing)) {
            row.add(entries_count, value);
        }
    }
    Ok(rows.into())
}

async fn at_rest(system: &TestSystem) -> io::Result<[f64; 5]> {
    let pid = system.entries[0].id();
    let (calls, cpu) = (kv_calls(system), cpu_s(pid)?);
    let [kv_bytes, list_bytes, _] = relayed_bytes(system);
    tokio::time::sleep(IDLE_TIME).await;
    let seconds = IDLE_TIME.as_secs_f64();
    let [kv_bytes_after, list_bytes_after, _] = relayed_bytes(system);
    Ok([
        (kv_calls(system) - calls) / seconds,
        (kv_bytes_after - kv_bytes) / seconds,
        (list_bytes_after - list_bytes) / seconds,
        (cpu_s(pid)? - cpu) * 1e6 / seconds,
        resident_bytes(pid)?,
    ])
}

async fn under_changes(system: &TestSystem) -> io::Result<[f64; 3]> {
    let mut operators = Vec::new();
    for entry in &system.entries {
        operators.push(Connection::open(entry.address, OPERATOR_KEY).await?);
    }
    let (calls, kv_bytes) = (kv_calls(system), relayed_bytes(system)[0]);
    let mut worst_ms = 0.0_f64;
    for index in 0..CHANGES_COUNT {
        worst_ms = worst_ms.max(change(&mut operators, index).await?);
    }
    let count = CHANGES_COUNT as f64;
    Ok([
        (kv_calls(system) - calls) / count,
        (relayed_bytes(system)[0] - kv_bytes) / count,
        worst_ms,
    ])
}

/// Creates an account. Returns the milliseconds from sending the change until it is in force at all
/// daemons.
async fn change(operators: &mut [Connection], index: usize) -> io::Result<f64> {
    let account = crate::support::objects::account(&format!("account-{index}"), CALLER_KEY);
    let mut account = account;
    account["key_digests"] = json!([gateway::digest_of(&format!("key-{index}"))]);
    let started = Instant::now();
    let changes = json!([{ "put": account }]);
    let path = "/v1/operator/apply";
    let accepted = operators[0].json(Method::POST, path, &changes).await?;
    let wanted = accepted["revision"].as_u64().unwrap_or_default();
    for operator in operators {
        while revision(operator).await? < wanted {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(started.elapsed().as_secs_f64() * 1e3)
}

async fn revision(operator: &mut Connection) -> io::Result<u64> {
    let status = operator
        .json(Method::GET, "/v1/operator/status", &Value::Null)
        .await?;
    Ok(status["revision"].as_u64().unwrap_or_default())
}

/// Number of calls that the key-value service has answered. Each opened watch counts as one.
pub fn kv_calls(system: &TestSystem) -> f64 {
    let stats = system.kv.role().stats();
    (stats.range_count + stats.txn_count + stats.lease_count + stats.watch_count) as f64
}
