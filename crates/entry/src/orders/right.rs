//! The right to give orders: taken, kept and let go.

use {
    super::Orders,
    crate::{HolderRecord, Holding, Item, Platform, Tenure, item::HOLDER_KEY, shared::RANK_PAUSE},
    catalog::Revision,
    eventlog::Event,
    keyvalue::{Compare, KeyValue, Op, Txn},
    relay::boot_time,
    std::time::Duration,
    tokio::time::sleep,
};

/// Added to the least time between the orders of two holders.
const GAP_MARGIN: Duration = Duration::from_millis(100);

impl<Kv, Format> Orders<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// The right to give orders, taken if nobody has it.
    pub(super) async fn hold(&self, holding: Option<Holding>) -> Option<Holding> {
        let tenure = self.shared.tenure()?;
        let own = &self.shared.settings.instance;
        let holder = self.shared.known().holder().cloned();
        if let Some(holder) = holder {
            let is_own = holder.record.instance == *own && holder.record.lease == tenure.lease;
            if !is_own {
                self.lost(holding, "another instance or an earlier lease holds it");
                return None;
            }
            let kept = holding.filter(|held| held.fencing == holder.fencing);
            // Without one it was taken by a call whose answer was lost.
            return Some(kept.unwrap_or_else(|| self.begin(&tenure, holder.fencing)));
        }
        self.lost(holding, "its key is gone");
        if !self.shared.is_ready() {
            return None;
        }
        self.take().await
    }

    async fn take(&self) -> Option<Holding> {
        sleep(RANK_PAUSE * self.shared.rank()).await;
        if self.shared.known().holder().is_some() {
            return None;
        }
        let tenure = self.shared.tenure()?;
        let record = HolderRecord {
            instance: self.shared.settings.instance.clone(),
            lease: tenure.lease,
        };
        let value = serde_json::to_vec(&record).ok()?;
        let take = Txn {
            compares: vec![Compare::Absent(HOLDER_KEY.to_owned())],
            success: vec![Op::Put(
                HOLDER_KEY.to_owned(),
                value.into(),
                Some(tenure.lease),
            )],
            ..Txn::default()
        };
        match self.shared.kv.txn(take).await {
            Ok(outcome) if outcome.succeeded => {
                let holder = Item::Holder(record);
                let mut known = self.shared.known();
                known.put("", holder, outcome.revision, boot_time());
                drop(known);
                Some(self.begin(&tenure, outcome.revision))
            }
            Ok(_) => None,
            Err(error) => {
                log::info!("right to give orders not taken: {error}");
                None
            }
        }
    }

    /// The right, taken now.
    fn begin(&self, tenure: &Tenure, fencing: Revision) -> Holding {
        let gap = self.shared.settings.order_gap + GAP_MARGIN;
        self.say_holder(true, fencing, "nobody held it");
        Holding::new(tenure, fencing, boot_time(), gap)
    }

    fn lost(&self, holding: Option<Holding>, reason: &str) {
        if let Some(held) = holding {
            self.say_holder(false, held.fencing, reason);
        }
    }

    pub(super) async fn let_go(&self, held: Holding) {
        let release = Txn {
            compares: vec![Compare::ModRevision(HOLDER_KEY.to_owned(), held.fencing)],
            success: vec![Op::Delete(HOLDER_KEY.to_owned())],
            ..Txn::default()
        };
        if let Err(error) = self.shared.kv.txn(release).await {
            log::info!("right to give orders is left to lapse: {error}");
        }
        self.say_holder(false, held.fencing, "this instance stops");
    }

    fn say_holder(&self, held: bool, fencing: u64, reason: &str) {
        self.shared.log.emit(&Event::Holder {
            held,
            fencing,
            reason: reason.to_owned(),
        });
    }
}
