//! Memory and sockets of a process, from procfs.

use std::net::Ipv4Addr;

/// Resident memory of a process, in bytes.
pub fn resident_bytes(process: u32) -> Result<u64, String> {
    status_bytes(process, "VmRSS:")
}

/// Highest resident memory of a process since its start, in bytes.
pub fn peak_resident_bytes(process: u32) -> Result<u64, String> {
    status_bytes(process, "VmHWM:")
}

fn status_bytes(process: u32, field: &str) -> Result<u64, String> {
    let path = format!("/proc/{process}/status");
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(field));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.map(|value| value * 1024).ok_or_else(|| format!("{path} has no {field}"))
}

/// Number of open sockets of a process.
pub fn open_sockets(process: u32) -> Result<usize, String> {
    let path = format!("/proc/{process}/fd");
    let entries = std::fs::read_dir(&path).map_err(|error| format!("{path}: {error}"))?;
    // A descriptor may be closed between the listing and the look at it.
    let targets = entries.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    Ok(targets.filter(|target| target.to_string_lossy().starts_with("socket:")).count())
}

/// Bytes that were received on the TCP sockets of an address and that no process has read.
pub fn unread_bytes(host: Ipv4Addr) -> Result<u64, String> {
    let path = "/proc/net/tcp";
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let local = format!("{:08X}", u32::from_ne_bytes(host.octets()));
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()?.starts_with(&local);
        // The receive queue of a listening socket counts connections.
        let is_connection = fields.nth(1)? != LISTENING;
        let (_, receive_queue) = fields.next()?.split_once(':')?;
        let bytes = u64::from_str_radix(receive_queue, 16).ok()?;
        (is_local && is_connection).then_some(bytes)
    };
    Ok(text.lines().skip(1).filter_map(unread).sum())
}

/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";
