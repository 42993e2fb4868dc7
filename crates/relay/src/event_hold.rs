//! Memory for the events of one stream that its caller has not taken yet.

use {
    crate::{
        Eviction,
        held_bytes::{HeldBytes, HeldFor, HeldPermit},
        unread_answers::UnreadGuard,
    },
    bytes::Bytes,
    tokio::sync::watch,
};

/// Memory for the events of one stream that its caller has not taken yet. Without memory, a stream goes on once all
/// that was read of it has been sent, so that no slow caller holds up another one.
#[derive(Debug)]
pub(crate) struct EventHold {
    held_bytes: HeldBytes,
    /// Batches of events that have not been sent.
    unsent_count: watch::Sender<usize>,
    eviction: Eviction,
}

impl EventHold {
    pub(crate) fn new(held_bytes: HeldBytes) -> Self {
        Self {
            held_bytes,
            unsent_count: watch::Sender::new(0),
            eviction: Eviction::default(),
        }
    }

    /// Signal that the stream must give way to others.
    pub(crate) fn eviction(&self) -> Eviction {
        self.eviction.clone()
    }

    /// Waits until `events` may be held. They count as held until all copies of what this returns are dropped.
    pub(crate) async fn hold(&self, events: Bytes) -> Bytes {
        let length = events.len();
        let reserved = self.held_bytes.reserve(HeldFor::Events, length);
        let permit = if let Some(permit) = reserved {
            permit
        } else {
            let mut unsent_count = self.unsent_count.subscribe();
            // It cannot fail: the sender is borrowed.
            let _ = unsent_count.wait_for(|count| *count == 0).await;
            self.held_bytes.hold(HeldFor::Events, length)
        };
        self.unsent_count.send_modify(|count| *count += 1);
        Bytes::from_owner(UnsentEvents {
            events,
            _permit: permit,
            _unread: self.held_bytes.unread(length, &self.eviction),
            unsent_count: self.unsent_count.clone(),
        })
    }
}

struct UnsentEvents {
    events: Bytes,
    _permit: HeldPermit,
    _unread: UnreadGuard,
    unsent_count: watch::Sender<usize>,
}

impl AsRef<[u8]> for UnsentEvents {
    fn as_ref(&self) -> &[u8] {
        &self.events
    }
}

impl Drop for UnsentEvents {
    fn drop(&mut self) {
        self.unsent_count.send_modify(|count| *count -= 1);
    }
}
