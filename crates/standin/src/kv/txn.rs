//! Transactions. All changes of one, nested ones included, have the same revision.

use {
    super::{
        state::State,
        wire::{
            Compare, INVALID_ARGUMENT, NOT_FOUND, Number, Op, Refused, Span, Text, Txn, decode,
        },
    },
    serde_json::{Value, json},
    std::{cmp::Ordering, collections::BTreeSet},
};

impl State {
    pub(super) fn answer_txn(&mut self, body: Value) -> Result<Value, Refused> {
        self.stats.txn_count += 1;
        let txn: Txn = decode(body)?;
        self.run_txn(txn)
    }

    pub(super) fn answer_put(&mut self, body: Value) -> Result<Value, Refused> {
        self.stats.txn_count += 1;
        self.run_txn(single(Op::Put(decode(body)?)))?;
        Ok(json!({"header": self.header()}))
    }

    pub(super) fn answer_delete(&mut self, body: Value) -> Result<Value, Refused> {
        self.stats.txn_count += 1;
        let answer = self.run_txn(single(Op::Delete(decode(body)?)))?;
        Ok(answer["responses"][0]["response_delete_range"].clone())
    }

    fn run_txn(&mut self, txn: Txn) -> Result<Value, Refused> {
        put_keys(&txn.success)?;
        put_keys(&txn.failure)?;
        // Every condition is evaluated before any step is carried out.
        let plan = self.plan(txn);
        self.check_leases(&plan)?;
        let revision = self.revision + 1;
        let mut changed = false;
        let mut answer = self.carry_out(plan, revision, &mut changed);
        if changed {
            self.publish(revision);
        }
        answer["header"] = json!(self.header());
        Ok(answer)
    }

    fn plan(&self, txn: Txn) -> Plan {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let ops = if succeeded { txn.success } else { txn.failure };
        let steps = ops.into_iter().map(|op| match op {
            Op::Txn(nested) => Step::Nested(self.plan(nested)),
            other => Step::Op(other),
        });
        Plan {
            succeeded,
            steps: steps.collect(),
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
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

    fn check_leases(&self, plan: &Plan) -> Result<(), Refused> {
        for step in &plan.steps {
            match step {
                Step::Nested(nested) => self.check_leases(nested)?,
                Step::Op(Op::Put(put)) if !self.leases.exists_or_none(put.lease.0) => {
                    let message = "etcdserver: requested lease not found";
                    return Err(Refused::new(NOT_FOUND, message));
                }
                Step::Op(_) => {}
            }
        }
        Ok(())
    }

    fn carry_out(&mut self, plan: Plan, revision: u64, changed: &mut bool) -> Value {
        let mut responses = Vec::with_capacity(plan.steps.len());
        for step in plan.steps {
            responses.push(match step {
                Step::Nested(nested) => {
                    json!({"response_txn": self.carry_out(nested, revision, changed)})
                }
                Step::Op(op) => self.carry_out_op(op, revision, changed),
            });
        }
        json!({
            "header": {"revision": Number(revision)},
            "succeeded": plan.succeeded,
            "responses": responses,
        })
    }

    fn carry_out_op(&mut self, op: Op, revision: u64, changed: &mut bool) -> Value {
        let header = json!({"revision": Number(revision)});
        match op {
            Op::Put(put) => {
                self.put_at(revision, put);
                *changed = true;
                json!({"response_put": {"header": header}})
            }
            Op::Range(span) => {
                let pairs = self.select(&span);
                let count = Number(pairs.len() as u64);
                json!({"response_range": {"header": header, "kvs": pairs, "count": count}})
            }
            Op::Delete(span) => {
                let deleted = self.delete_span(&span, revision);
                *changed |= deleted > 0;
                let deleted = Number(deleted);
                json!({"response_delete_range": {"header": header, "deleted": deleted}})
            }
            Op::Txn(nested) => {
                let plan = self.plan(nested);
                json!({"response_txn": self.carry_out(plan, revision, changed)})
            }
        }
    }

    fn delete_span(&mut self, span: &Span, revision: u64) -> u64 {
        let mut deleted = 0;
        for pair in self.select(span) {
            deleted += u64::from(self.delete_at(revision, &pair.key));
        }
        deleted
    }
}

/// A transaction with its conditions evaluated.
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

fn single(op: Op) -> Txn {
    Txn {
        success: vec![op],
        ..Txn::default()
    }
}

/// Keys that the steps may put; a key put twice is refused, as etcd does.
fn put_keys(ops: &[Op]) -> Result<BTreeSet<Text>, Refused> {
    let mut keys = BTreeSet::new();
    for op in ops {
        let more = match op {
            Op::Put(put) => BTreeSet::from([put.key.clone()]),
            Op::Txn(nested) => {
                let mut either = put_keys(&nested.success)?;
                either.extend(put_keys(&nested.failure)?);
                either
            }
            Op::Range(_) | Op::Delete(_) => continue,
        };
        if !keys.is_disjoint(&more) {
            let message = "etcdserver: duplicate key given in txn request";
            return Err(Refused::new(INVALID_ARGUMENT, message));
        }
        keys.extend(more);
    }
    Ok(keys)
}
