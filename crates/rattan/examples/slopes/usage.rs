//! CPU time and memory of a process.

use std::{fs, io};

/// CPU time of all threads of a process in seconds.
pub fn cpu_s(pid: u32) -> io::Result<f64> {
    let mut total_ns = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        // The thread may have ended since the directory was listed.
        let Ok(text) = fs::read_to_string(thread?.path().join("schedstat")) else {
            continue;
        };
        let run_ns = text
            .split_whitespace()
            .next()
            .and_then(|field| field.parse().ok());
        total_ns += run_ns.unwrap_or(0.0);
    }
    Ok(total_ns / 1e9)
}

/// Resident memory of a process in bytes.
pub fn resident_bytes(pid: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident_kib = status.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?
            .trim()
            .strip_suffix(" kB")?
            .trim()
            .parse()
            .ok()
    });
    Ok(resident_kib.unwrap_or(0.0) * 1024.0)
}
