//! What operators' requests mean. The gateway parses HTTP and checks operators' keys; here a
//! [`gateway::OperatorRequest`] goes in and a [`gateway::OperatorResponse`] comes out.
//!
//! | call | meaning |
//! |---|---|
//! | `GET /status` | revision in force, its age, counts and warnings |
//! | `GET /{kind}?selector=a=b,c=d` | objects of a kind whose labels match |
//! | `GET /{kind}/{name}` | one object with its revision |
//! | `PUT /{kind}/{name}` | creates (`If-None-Match: *`) or replaces (`If-Match: REVISION`) |
//! | `DELETE /{kind}/{name}` | deletes (`If-Match: REVISION`) |
//! | `PATCH /{kind}/{name}/labels` | sets and removes labels |
//! | `POST /target/{name}/drain` | marks a target as leaving |
//! | `POST /apply` | several changes in one transaction |

mod decode;
mod edits;
mod operator;
mod outcome;
mod reads;
mod route;

pub use {
    edits::LabelsPatch,
    operator::Operator,
    outcome::{accepted_answer, refusal_of},
    reads::Listed,
    route::Route,
};
