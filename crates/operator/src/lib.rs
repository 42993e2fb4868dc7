//! The operator API: carries out operators' requests. The gateway handles HTTP and checks the
//! operator's key; [`OperatorApi::handle`] turns a [`gateway::OperatorRequest`] into a
//! [`gateway::OperatorResponse`].
//!
//! | request | effect |
//! |---|---|
//! | `GET /status` | returns the revision in force, its age, counts and warnings |
//! | `GET /{kind}?selector=a=b,c=d` | lists the objects of a kind whose labels match |
//! | `GET /{kind}/{name}` | returns one object with its revision |
//! | `PUT /{kind}/{name}` | creates (`If-None-Match: *`) or replaces (`If-Match: REVISION`) |
//! | `DELETE /{kind}/{name}` | deletes (`If-Match: REVISION`) |
//! | `PATCH /{kind}/{name}/labels` | sets and removes labels |
//! | `POST /target/{name}/drain` | marks a target as leaving |
//! | `POST /apply` | applies several changes in one transaction |

mod change_request;
mod change_response;
mod operator_api;
mod operator_route;
mod query_string;
mod read_response;

pub use {
    change_request::LabelsPatch,
    change_response::{accepted_response, change_refusal},
    operator_api::OperatorApi,
    operator_route::OperatorRoute,
    read_response::ObjectList,
};
