//! Instances on a key-value service that comes back from copies.

use {
    super::{Instance, put, target::Target, wait_until},
    keyvalue::{KeyValue, KvCopy, MemoryKv},
    std::time::Duration,
};

/// Instances, each with a connection of its own to the service, before a target.
pub struct ReturningFleet {
    pub kv: MemoryKv,
    /// Copy of the service before anything was written.
    pub empty: KvCopy,
    pub connections: Vec<MemoryKv>,
    pub instances: Vec<Instance>,
    pub target: Target,
}

impl ReturningFleet {
    /// Starts instances of these names on an empty service, and waits until all know each other.
    pub async fn start(kv: MemoryKv, names: &[&str]) -> Self {
        let empty = kv.take_copy();
        let target = Target::start(Duration::ZERO).await;
        let connections: Vec<MemoryKv> = names.iter().map(|_| kv.peer()).collect();
        let mut fleet = Self {
            kv,
            empty,
            connections,
            instances: Vec::new(),
            target,
        };
        fleet.write_again().await;
        let start = |(name, kv): (&&str, &MemoryKv)| Instance::start(name, kv.clone());
        fleet.instances = names.iter().zip(&fleet.connections).map(start).collect();
        wait_until("all addresses", async || fleet.knows_all().await).await;
        fleet
    }

    /// Writes what operators and targets have written before, with a connection that knows of no return.
    pub async fn write_again(&self) {
        let writer = self.kv.peer();
        put(&writer, "operators/configuration", "5").await;
        put(&writer, "targets/t1", &format!("{} 1", self.target.address)).await;
    }

    /// Writes a key so often that nobody uses.
    pub async fn write_changes(&self, count: u32) {
        let writer = self.kv.peer();
        for number in 0..count {
            put(&writer, "unused", &number.to_string()).await;
        }
    }

    /// Whether each instance tells callers the addresses of all.
    pub async fn knows_all(&self) -> bool {
        for instance in &self.instances {
            if instance.addresses().await.len() != self.instances.len() {
                return false;
            }
        }
        true
    }

    /// Whether the service holds the records of all instances.
    pub async fn are_registered(&self) -> bool {
        let members = self.kv.peer().range("rattan/members/").await;
        members.is_ok_and(|members| members.pairs.len() == self.instances.len())
    }

    /// Calls through all instances until a target has got one.
    pub async fn wait_for_call_at(&self, target: &Target) {
        wait_until("a call at the target", async || {
            for instance in &self.instances {
                instance.call("/x").await;
            }
            target.calls_count() > 0
        })
        .await;
    }

    /// Cuts the connections of all instances, or ends that.
    pub fn cut(&self, is_cut: bool) {
        for connection in &self.connections {
            cut(connection, is_cut);
        }
    }

    /// Lines about returns, for each instance.
    pub fn restored_lines(&self) -> Vec<Vec<String>> {
        let lines = |it: &Instance| it.lines("\"event\":\"restored\"");
        self.instances.iter().map(lines).collect()
    }
}

/// Cuts a connection to the service, or ends that.
pub fn cut(connection: &MemoryKv, is_cut: bool) {
    connection.set_faults(|faults| faults.unreachable = is_cut);
    if is_cut {
        connection.cut_watches();
    }
}
