//! Transactions. All changes of one transaction, including nested ones, share one revision.

use {
    super::{
        state::State,
        wire::{
            ByteString, Compare, DecimalU64, INVALID_ARGUMENT, KeyRange, NOT_FOUND, Op, RpcError,
            Txn, decode,
        },
    },
    serde_json::{Value, json},
    std::{cmp::Ordering, collections::BTreeSet},
};

impl State {
    pub(super) fn answer_txn(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.txn_count += 1;
        let txn: Txn = decode(body)?;
        self.run_txn(txn)
    }

    pub(super) fn answer_put(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.txn_count += 1;
        self.run_txn(single_op_txn(Op::Put(decode(body)?)))?;
        Ok(json!({"header": self.header()}))
    }

    pub(super) fn answer_delete(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.txn_count += 1;
        let answer = self.run_txn(single_op_txn(Op::Delete(decode(body)?)))?;
        Ok(answer["responses"][0]["response_delete_range"].clone())
    }

    fn run_txn(&mut self, txn: Txn) -> Result<Value, RpcError> {
        collect_put_keys(&txn.success)?;
        collect_put_keys(&txn.failure)?;
        // Every condition is evaluated before any step runs.
        let plan = self.evaluate(txn);
        self.check_leases(&plan)?;
        let revision = self.revision + 1;
        let mut changed = false;
        let mut answer = self.execute(plan, revision, &mut changed);
        if changed {
            self.publish(revision);
        }
        answer["header"] = json!(self.header());
        Ok(answer)
    }

    /// Evaluates all conditions, nested ones included, and picks the operations to run.
    fn evaluate(&self, txn: Txn) -> Plan {
        let succeeded = txn
            .compare
            .iter()
            .all(|compare| self.condition_holds(compare));
        let ops = if succeeded { txn.success } else { txn.failure };
        let steps = ops.into_iter().map(|op| match op {
            Op::Txn(nested) => Step::Nested(self.evaluate(nested)),
            other => Step::Op(other),
        });
        Plan {
            succeeded,
            steps: steps.collect(),
        }
    }

    fn condition_holds(&self, compare: &Compare) -> bool {
        let pair = self.get(&compare.key);
        let order = match compare.target.as_str() {
            "CREATE" => pair
                .map_or(0, |pair| pair.create_revision.0)
                .cmp(&compare.create_revision.0),
            "MOD" => pair
                .map_or(0, |pair| pair.mod_revision.0)
                .cmp(&compare.mod_revision.0),
            "VALUE" => match pair {
                Some(pair) => pair.value.cmp(&compare.value),
                None => return false,
            },
            _ => pair
                .map_or(0, |pair| pair.version.0)
                .cmp(&compare.version.0),
        };
        match compare.result.as_str() {
            "GREATER" => order == Ordering::Greater,
            "LESS" => order == Ordering::Less,
            "NOT_EQUAL" => order != Ordering::Equal,
            _ => order == Ordering::Equal,
        }
    }

    /// Refuses a put that names a lease which does not exist.
    fn check_leases(&self, plan: &Plan) -> Result<(), RpcError> {
        for step in &plan.steps {
            match step {
                Step::Nested(nested) => self.check_leases(nested)?,
                Step::Op(Op::Put(put)) if !self.leases.exists_or_none(put.lease.0) => {
                    let message = "etcdserver: requested lease not found";
                    return Err(RpcError::new(NOT_FOUND, message));
                }
                Step::Op(_) => {}
            }
        }
        Ok(())
    }

    fn execute(&mut self, plan: Plan, revision: u64, changed: &mut bool) -> Value {
        let mut responses = Vec::with_capacity(plan.steps.len());
        for step in plan.steps {
            responses.push(match step {
                Step::Nested(nested) => {
                    json!({"response_txn": self.execute(nested, revision, changed)})
                }
                Step::Op(op) => self.execute_op(op, revision, changed),
            });
        }
        json!({
            "header": {"revision": DecimalU64(revision)},
            "succeeded": plan.succeeded,
            "responses": responses,
        })
    }

    fn execute_op(&mut self, op: Op, revision: u64, changed: &mut bool) -> Value {
        let header = json!({"revision": DecimalU64(revision)});
        match op {
            Op::Put(put) => {
                self.put_at(revision, put);
                *changed = true;
                json!({"response_put": {"header": header}})
            }
            Op::Range(range) => {
                let pairs = self.select(&range);
                let count = DecimalU64(pairs.len() as u64);
                json!({"response_range": {"header": header, "kvs": pairs, "count": count}})
            }
            Op::Delete(range) => {
                let deleted = self.delete_range(&range, revision);
                *changed |= deleted > 0;
                let deleted = DecimalU64(deleted);
                json!({"response_delete_range": {"header": header, "deleted": deleted}})
            }
            Op::Txn(nested) => {
                let plan = self.evaluate(nested);
                json!({"response_txn": self.execute(plan, revision, changed)})
            }
        }
    }

    fn delete_range(&mut self, range: &KeyRange, revision: u64) -> u64 {
        let mut deleted = 0;
        for pair in self.select(range) {
            deleted += u64::from(self.delete_at(revision, &pair.key));
        }
        deleted
    }
}

/// The operations that a transaction runs, after its conditions were evaluated.
#[derive(Debug)]
struct Plan {
    succeeded: bool,
    steps: Vec<Step>,
}

#[derive(Debug)]
enum Step {
    Op(Op),
    Nested(Plan),
}

/// A transaction without conditions that runs `op`.
fn single_op_txn(op: Op) -> Txn {
    Txn {
        success: vec![op],
        ..Txn::default()
    }
}

/// Collects the keys that the operations may put. Putting a key twice is an error, as in etcd.
fn collect_put_keys(ops: &[Op]) -> Result<BTreeSet<ByteString>, RpcError> {
    let mut keys = BTreeSet::new();
    for op in ops {
        let more = match op {
            Op::Put(put) => BTreeSet::from([put.key.clone()]),
            Op::Txn(nested) => {
                let mut either = collect_put_keys(&nested.success)?;
                either.extend(collect_put_keys(&nested.failure)?);
                either
            }
            Op::Range(_) | Op::Delete(_) => continue,
        };
        if !keys.is_disjoint(&more) {
            let message = "etcdserver: duplicate key given in txn request";
            return Err(RpcError::new(INVALID_ARGUMENT, message));
        }
        keys.extend(more);
    }
    Ok(keys)
}
