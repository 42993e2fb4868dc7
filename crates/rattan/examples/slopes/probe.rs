//! Measures memory and CPU time of components without sockets, each in a separate process.

use {
    crate::{
        series::Series,
        usage::{cpu_s, resident_bytes},
    },
    catalog::TargetId,
    cluster::{Member, MemberState, Members, OWNERS_COUNT},
    decision::{Outcome, Record, RecordBuffer, RecordBufferLimits, Step},
    directory::{Directory, PromptBlocks, StoreWrite},
    prefix::BlockKey,
    routing::{Choice, Estimate, FilterReason, PrefixSource, RejectedCandidate},
    std::{
        hint::black_box,
        io,
        process::Command,
        time::{Duration, Instant},
    },
};

/// Number of blocks of one prompt.
const PROMPT_BLOCKS_COUNT: usize = 4;
/// Size of one block in bytes.
const BLOCK_BYTES: u64 = 32_000;
/// Number of engines, and of stores, that hold blocks.
const TARGETS_COUNT: usize = 100;
/// Number of timed operations.
const TIMED_OPERATIONS_COUNT: usize = 20_000;

/// Measurements of one probe.
struct ProbeResult {
    resident_bytes: f64,
    cpu_us: f64,
}

/// Runs one probe in this process and prints its resident bytes and CPU microseconds.
pub fn run(kind: &str, size: &str) -> io::Result<()> {
    let size: usize = size.parse().map_err(io::Error::other)?;
    let result = match kind {
        "directory" => directory(size)?,
        "records" => records(size)?,
        "members" => members(size)?,
        _ => return Err(io::Error::other(format!("no probe {kind}"))),
    };
    println!("{} {}", result.resident_bytes, result.cpu_us);
    Ok(())
}

/// Runs all probes at all their sizes.
pub fn measure() -> io::Result<Vec<Series>> {
    let mut rows = over_sizes(
        "directory",
        &[10_000, 20_000, 40_000, 80_000],
        Series::new("directory: resident bytes", "prompts of 4 blocks"),
        Series::new("directory: cpu us a look-up", "prompts of 4 blocks"),
    )?;
    rows.extend(over_sizes(
        "records",
        &[2_000, 4_000, 8_000, 16_000],
        Series::new("records: resident bytes", "records"),
        Series::new(
            "records: cpu us a record, kept and taken for copying",
            "records",
        ),
    )?);
    rows.extend(over_sizes(
        "members",
        &[20, 80, 160, 320],
        Series::new("members: resident bytes", "instances"),
        Series::new("members: cpu us for the owners of a key", "instances"),
    )?);
    Ok(rows)
}

fn over_sizes(
    kind: &str,
    sizes: &[usize],
    mut memory: Series,
    mut time: Series,
) -> io::Result<Vec<Series>> {
    for size in sizes {
        let [bytes, us] = in_child(kind, *size)?;
        memory.add(*size, bytes);
        time.add(*size, us);
    }
    Ok(vec![memory, time])
}

/// Runs a probe in a child process and returns the numbers that it prints.
pub fn in_child<const COUNT: usize>(kind: &str, size: usize) -> io::Result<[f64; COUNT]> {
    let output = Command::new(std::env::current_exe()?)
        .args(["probe", kind, &size.to_string()])
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let numbers: Vec<f64> = text
        .split_whitespace()
        .filter_map(|word| word.parse().ok())
        .collect();
    numbers
        .try_into()
        .map_err(|_| io::Error::other(format!("probe {kind} {size}: {text}")))
}

fn directory(prompts_count: usize) -> io::Result<ProbeResult> {
    let before = own_resident_bytes()?;
    let mut directory = Directory::default();
    let account = "tasboulak".to_owned();
    for index in 0..prompts_count {
        let keys = prompt_keys(index);
        let now = Duration::from_millis(index as u64);
        let prompt = PromptBlocks {
            client_account: &account,
            keys: &keys,
            block_bytes: BLOCK_BYTES,
            block_recompute: Duration::from_millis(100),
        };
        directory.record_use(&prompt, now);
        directory.observe_run(&target("engine", index), &keys, 0, now);
        for key in keys {
            let write = StoreWrite {
                key,
                target: target("store", index),
                generation: 1,
                size_bytes: BLOCK_BYTES,
                client_account: account.clone(),
            };
            directory
                .begin_write(&write, now)
                .map_err(io::Error::other)?;
            directory
                .commit(&key, &write.target, 1, now)
                .map_err(io::Error::other)?;
        }
    }
    let resident_bytes = own_resident_bytes()? - before;
    let cpu_us = operation_cpu_us(|index| {
        black_box(directory.lookup(&prompt_keys(index * 7 % prompts_count)));
    })?;
    Ok(ProbeResult {
        resident_bytes,
        cpu_us,
    })
}

fn records(records_count: usize) -> io::Result<ProbeResult> {
    let before = own_resident_bytes()?;
    let limits = RecordBufferLimits {
        max_records_count: usize::MAX,
        max_records_bytes: usize::MAX,
        ..RecordBufferLimits::default()
    };
    let mut ring = RecordBuffer::new(limits);
    let now = Instant::now();
    for index in 0..records_count {
        insert_request(&mut ring, index, now);
        ring.take_unreplicated(usize::MAX);
    }
    let resident_bytes = own_resident_bytes()? - before;
    let cpu_us = operation_cpu_us(|index| {
        insert_request(&mut ring, records_count + index, now);
        black_box(ring.take_unreplicated(usize::MAX));
    })?;
    Ok(ProbeResult {
        resident_bytes,
        cpu_us,
    })
}

/// Inserts the record of one request with all its steps: routed, imported, run, exported.
fn insert_request(ring: &mut RecordBuffer, index: usize, now: Instant) {
    let record = record(index);
    let request = record.request.clone();
    ring.insert(record, now);
    for step in later_steps(index) {
        ring.append(&request, step, now);
    }
}

/// A record with its routing step, in which 113 candidates were considered.
pub fn record(index: usize) -> Record {
    let estimate = |position: usize| Estimate {
        target: target("engine", index + position),
        source: PrefixSource::Import,
        first_token: Duration::from_micros(123_456),
        recomputed_tokens: 2_000,
        link_bytes: 123_456,
        cost: 0.123_456_789,
        import_blocks: 3,
        import_from_block: 1,
        import: Duration::from_micros(23_456),
        import_deviation: Duration::from_micros(3_456),
        import_saves: Duration::from_micros(303_456),
    };
    let rejected = (0..13).map(|position| RejectedCandidate {
        target: target("engine", index + 50 + position),
        reason: FilterReason::Leaving,
    });
    let routed = Step::Routed {
        choice: Choice {
            chosen: estimate(0),
            others: (1..100).map(estimate).collect(),
            rejected: rejected.collect(),
        },
        missing: Vec::new(),
    };
    Record {
        request: format!("{index:032x}"),
        client_account: "countertop-chain".to_owned(),
        instance: "entry-017".to_owned(),
        model_version: "template-review-2".to_owned(),
        revision: 123_456,
        arrived: Duration::from_secs(1_700_000_000),
        steps: vec![routed],
    }
}

/// The steps that follow the routing step.
pub fn later_steps(index: usize) -> [Step; 4] {
    [
        Step::Imported {
            store: target("store", index),
            blocks_count: 3,
            link_bytes: 96_000,
            missing: String::new(),
        },
        Step::Attempt {
            target: target("engine", index),
            outcome: Outcome::Run,
            error: String::new(),
        },
        Step::Finished {
            prompt_tokens: 8_123,
            cached_tokens: 6_000,
            recomputed_tokens: 2_000,
            recompute_reason: "the store freed block 4".to_owned(),
            answer_tokens: 270,
            first_token_ms: 143,
        },
        Step::Exported {
            store: target("store", index),
            blocks_count: 1,
            link_bytes: 32_000,
            reason: "expected to return".to_owned(),
        },
    ]
}

fn members(instances_count: usize) -> io::Result<ProbeResult> {
    let before = own_resident_bytes()?;
    let views: Vec<Members> = (0..100)
        .map(|_| Members::new("region-0".to_owned(), (0..instances_count).map(member)))
        .collect();
    let resident_bytes = (own_resident_bytes()? - before) / views.len() as f64;
    let cpu_us = operation_cpu_us(|index| {
        black_box(views[0].owners(&index.to_le_bytes(), OWNERS_COUNT));
    })?;
    Ok(ProbeResult {
        resident_bytes,
        cpu_us,
    })
}

/// One instance of a single region with 15 failure domains.
pub fn member(index: usize) -> Member {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    Member {
        instance: format!("entry-{index:03}"),
        address: ([127, 0, 0, 1], port).into(),
        peer_address: ([127, 0, 0, 1], port).into(),
        region: "region-0".to_owned(),
        failure_domain: format!("fd-{}", index % 15),
        state: MemberState::Live,
        incarnation: 1_764_800_000_000,
    }
}

/// Mean CPU time of one operation in microseconds.
fn operation_cpu_us<Operation>(mut operation: Operation) -> io::Result<f64>
where
    Operation: FnMut(usize),
{
    let before_s = cpu_s(std::process::id())?;
    (0..TIMED_OPERATIONS_COUNT).for_each(&mut operation);
    let spent_s = cpu_s(std::process::id())? - before_s;
    Ok(spent_s * 1e6 / TIMED_OPERATIONS_COUNT as f64)
}

fn own_resident_bytes() -> io::Result<f64> {
    resident_bytes(std::process::id())
}

fn prompt_keys(index: usize) -> Vec<BlockKey> {
    (0..PROMPT_BLOCKS_COUNT)
        .map(|block| *blake3::hash(&(index * PROMPT_BLOCKS_COUNT + block).to_le_bytes()).as_bytes())
        .collect()
}

fn target(kind: &str, index: usize) -> TargetId {
    format!("{kind}-{:04}", index % TARGETS_COUNT)
}
