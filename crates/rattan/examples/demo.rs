//! Helper of `scripts/demo.sh`: adds entry instances to the instance list, sends a prompt, and
//! evicts the caches of engines.

use {
    bytes::Bytes,
    hyper::Method,
    serde_json::{Value, json},
    standin::{Caller, End},
    std::{env, io, net::SocketAddr, process::ExitCode, time::Duration},
};

/// Text of one piece of the demo's prompt; 20 pieces of 8,000 bytes are sent.
const PIECE: &str = "Measure the run, note the edge profile, check the sink cut-out. ";
/// Repetitions of [`PIECE`] in the whole prompt.
const PIECES_COUNT: usize = 2_500;
/// Tokens of the answer.
const ANSWER_TOKENS: u32 = 8;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
        ["list", list, entries @ ..] => list_entries(list, entries).await,
        ["forget", engines @ ..] => evict(engines).await,
        ["visit", entry, key, model] => visit(entry, key, model).await,
        _ => Err(io::Error::other(
            "use list ADDRESS NAME=ADDRESS=PEER=DOMAIN..., forget ADDRESS..., or visit ADDRESS KEY MODEL",
        )),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Adds entry instances to the instance list.
async fn list_entries(list: &str, entries: &[&str]) -> io::Result<()> {
    for entry in entries {
        let fields: Vec<&str> = entry.split('=').collect();
        let [name, address, peer_address, failure_domain] = fields[..] else {
            return Err(io::Error::other("an entry is NAME=ADDRESS=PEER=DOMAIN"));
        };
        let instance = json!({
            "name": name,
            "role": "entry",
            "address": address,
            "peer_address": peer_address,
            "region": "almaty",
            "failure_domain": failure_domain,
            "state": "live",
        });
        let path = format!("/instances/{name}");
        send(list, Method::PUT, &path, &instance).await?;
    }
    Ok(())
}

/// Makes engines evict their prefix cache.
async fn evict(engines: &[&str]) -> io::Result<()> {
    for engine in engines {
        send(engine, Method::POST, "/fault", &json!({"evict": true})).await?;
    }
    Ok(())
}

/// Fetches the entry addresses, sends the prompt to the first one and prints the result.
async fn visit(entry: &str, key: &str, model: &str) -> io::Result<()> {
    let caller = Caller::new(key);
    let first_entry = parse_address(entry)?;
    let (_, body) = caller
        .call(first_entry, Method::GET, "/v1/entries", &[], Bytes::new())
        .await?;
    let entries: Value = serde_json::from_slice(&body).map_err(io::Error::other)?;
    let chosen = entries["entries"][0]["address"].as_str().unwrap_or(entry);
    let prompt = PIECE.repeat(PIECES_COUNT);
    let visit = caller
        .complete(parse_address(chosen)?, model, &prompt, ANSWER_TOKENS)
        .await;
    if visit.end != End::Whole {
        return Err(io::Error::other(format!("no whole answer: {visit:?}")));
    }
    println!(
        "request={} entry={chosen} first_token_ms={:.0} prompt_tokens={} cached_tokens={}",
        visit.request,
        visit.first_token_ms.unwrap_or_default(),
        visit.prompt_tokens,
        visit.cached_tokens,
    );
    Ok(())
}

async fn send(to: &str, method: Method, path: &str, body: &Value) -> io::Result<()> {
    let caller = Caller {
        idle_timeout: Duration::from_secs(5),
        ..Caller::new("")
    };
    let body = body.to_string().into();
    let (status, answer) = caller
        .call(parse_address(to)?, method, path, &[], body)
        .await?;
    if status.is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!("{path}: {status} {answer:?}")))
}

fn parse_address(text: &str) -> io::Result<SocketAddr> {
    text.parse()
        .map_err(|_| io::Error::other(format!("{text:?} is not an address")))
}
