//! Streams that callers take up at another instance go on at the software version that began them.

mod support;

use {
    keyvalue::MemoryKv,
    support::{
        Instance, put,
        stream_target::{self, ArrivedStream, ArrivedStreams},
        wait_until,
    },
};

/// Number of targets of each software version.
const TARGETS_COUNT: usize = 3;
/// Number of streams in each test.
const STREAMS_COUNT: usize = 24;

/// Instances before targets of several software versions.
struct Fleet {
    kv: MemoryKv,
    instances: Vec<Instance>,
    arrived: ArrivedStreams,
}

impl Fleet {
    async fn start(versions: &[&str]) -> Self {
        let kv = MemoryKv::new();
        put(&kv, "operators/configuration", "1").await;
        let mut fleet = Self {
            instances: Vec::new(),
            arrived: ArrivedStreams::default(),
            kv,
        };
        for version in versions {
            fleet.add_targets(version).await;
        }
        for name in ["one", "two", "three", "four"] {
            let instance = Instance::start(name, fleet.kv.clone());
            wait_until("the instance is ready", async || instance.is_ready().await).await;
            fleet.instances.push(instance);
        }
        fleet
    }

    async fn add_targets(&self, version: &str) {
        for index in 0..TARGETS_COUNT {
            let name = format!("{version}-{index}");
            stream_target::start(&name, version, &self.kv.peer(), &self.arrived).await;
        }
    }

    /// Begins streams at the first instance, each of which breaks off after its first event.
    async fn begin_streams(&self) {
        for index in 0..STREAMS_COUNT {
            self.instances[0]
                .begin_stream(&format!("begun-{index}"))
                .await;
        }
    }

    /// Takes the streams up at the other instances in turn; returns how many went on.
    async fn resume_streams(&self) -> usize {
        let mut resumed_count = 0;
        let others = &self.instances[1..];
        for index in 0..STREAMS_COUNT {
            let instance = &others[index % others.len()];
            let (id, begun) = (format!("resumed-{index}"), format!("begun-{index}"));
            if instance.resume_stream(&id, &begun).await == Some(200) {
                resumed_count += 1;
            }
        }
        resumed_count
    }

    /// Number of streams with events of two software versions.
    fn mixed_count(&self) -> usize {
        let arrived = self.arrived.lock().unwrap();
        let resumed = arrived.iter().filter(|it| it.resumes.is_some());
        let is_mixed = |resumed: &&ArrivedStream| {
            let mut begun = arrived.iter();
            let begun = begun.find(|it| Some(&it.id) == resumed.resumes.as_ref());
            begun.is_some_and(|begun| begun.software != resumed.software)
        };
        resumed.filter(is_mixed).count()
    }
}

#[tokio::test]
async fn streams_taken_up_at_other_instances_keep_their_software_version() {
    let fleet = Fleet::start(&["v1", "v2"]).await;
    fleet.begin_streams().await;
    assert_eq!(fleet.resume_streams().await, STREAMS_COUNT);
    assert_eq!(fleet.mixed_count(), 0);
}

#[tokio::test]
async fn streams_of_a_stopped_instance_keep_their_software_version() {
    let mut fleet = Fleet::start(&["v1", "v2"]).await;
    fleet.begin_streams().await;
    let first = fleet.instances.remove(0);
    first.stop.cancel();
    first.ended.await.unwrap().unwrap();
    fleet
        .instances
        .insert(0, Instance::start("one", fleet.kv.clone()));
    assert_eq!(fleet.resume_streams().await, STREAMS_COUNT);
    assert_eq!(fleet.mixed_count(), 0);
}

#[tokio::test]
async fn streams_begun_before_a_second_software_version_appears_stay_at_the_first() {
    let fleet = Fleet::start(&["v1"]).await;
    fleet.begin_streams().await;
    fleet.add_targets("v2").await;
    for instance in &fleet.instances {
        wait_until("the targets are known", async || {
            instance.lines("\"software_version\":\"v2\"").len() >= TARGETS_COUNT
        })
        .await;
    }
    assert_eq!(fleet.resume_streams().await, STREAMS_COUNT);
    assert_eq!(fleet.mixed_count(), 0);
}
