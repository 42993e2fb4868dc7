//! Estimates the memory that a directory takes per block from the growth of resident memory.
//!
//! `cargo run --release -p directory --example memory`

use {
    directory::{Directory, PromptBlocks, StoreWrite},
    std::{error::Error, fs, time::Duration},
};

const PAGE_BYTES: f64 = 4_096.0;
const BLOCKS_PER_PROMPT: u64 = 12;
const BLOCK_BYTES: u64 = 2_000 * 1_024;
const PROMPTS_COUNTS: [u64; 3] = [3_063, 12_252, 49_008];
const NOW: Duration = Duration::from_secs(1);

fn main() -> Result<(), Box<dyn Error>> {
    println!("prompts  blocks  resident bytes  bytes a block");
    let mut directories = Vec::new();
    for prompts_count in PROMPTS_COUNTS {
        let before = resident_bytes()?;
        let directory = filled_directory(prompts_count);
        let bytes = resident_bytes()? - before;
        let blocks = f64::from(u32::try_from(directory.blocks_count())?);
        println!(
            "{prompts_count:<7}  {blocks:<6}  {bytes:<14}  {:.1}",
            bytes / blocks
        );
        directories.push(directory);
    }
    Ok(())
}

/// Fills a directory. Each block has a copy in a store, and for every eighth prompt also one in
/// engine memory.
fn filled_directory(prompts_count: u64) -> Directory {
    let mut directory = Directory::default();
    let account = "kitchens".to_owned();
    for prompt in 0..prompts_count {
        let keys: Vec<_> = (0..BLOCKS_PER_PROMPT)
            .map(|depth| {
                let mut key = [0; 32];
                key[..8].copy_from_slice(&prompt.to_le_bytes());
                key[8..16].copy_from_slice(&depth.to_le_bytes());
                key
            })
            .collect();
        let prompt_blocks = PromptBlocks {
            client_account: &account,
            keys: &keys,
            block_bytes: BLOCK_BYTES,
            block_recompute: Duration::from_millis(100),
        };
        directory.record_use(&prompt_blocks, NOW);
        for key in &keys {
            let write = StoreWrite {
                key: *key,
                target: "store-a".into(),
                generation: prompt + 1,
                size_bytes: BLOCK_BYTES,
                client_account: account.clone(),
            };
            directory.adopt_listed_copy(&write, NOW, NOW);
        }
        if prompt % 8 == 0 {
            directory.observe_run(&"engine-a".to_owned(), &keys, 0, NOW);
        }
    }
    directory
}

fn resident_bytes() -> Result<f64, Box<dyn Error>> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split(' ').nth(1).ok_or("statm has no second field")?;
    Ok(pages.parse::<f64>()? * PAGE_BYTES)
}
