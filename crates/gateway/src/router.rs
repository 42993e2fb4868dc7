//! Dispatches each request to its handler.

use {
    crate::{
        Backend, Caller, CompletionApi, CompletionBody, GatewaySettings, OperatorRequest, Refusal,
        RefusalKind,
        completion::ResponseFormatter,
        keys,
        request_reader::{read_body, readable_header},
        respond::{self, HttpResponse},
        service,
    },
    catalog::{ClientAccountId, RequestId},
    hyper::{Method, Request, body::Incoming, header::HeaderValue, http::request::Parts},
    percent_encoding::percent_decode_str,
    serde_json::json,
};

/// Path prefix of operator requests.
const OPERATOR_PREFIX: &str = "/v1/operator";
/// Path prefix of requests for decision records.
const DECISION_PREFIX: &str = "/v1/decisions/";

/// Handles the requests of one gateway.
#[derive(Clone)]
pub(crate) struct Router<Service> {
    pub(crate) settings: GatewaySettings,
    pub(crate) backend: Service,
}

impl<Service> Router<Service>
where
    Service: Backend,
{
    /// Handles one request. Refusals become error responses. Every response has the request id in
    /// its `x-request-id` header.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> HttpResponse {
        let id = keys::new_request_id();
        let mut response = match self.dispatch(request, &id).await {
            Ok(response) => response,
            Err(refusal) => {
                log::info!(
                    "request={id} refused={} outcome={:?} reason={:?}",
                    refusal.kind.name(),
                    refusal.outcome,
                    refusal.message
                );
                respond::refusal(&refusal)
            }
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
        id: &RequestId,
    ) -> Result<HttpResponse, Refusal> {
        let (head, body) = request.into_parts();
        if head.uri.path() == "/health" {
            return Ok(respond::json(200, &json!({"status": "ok"})));
        }
        let caller = keys::authenticate(&self.backend, &head.headers)?;
        let path = head.uri.path();
        if path == OPERATOR_PREFIX || path.starts_with("/v1/operator/") {
            return self.operator(&caller, &head, body).await;
        }
        if let Some(wanted_id) = path.strip_prefix(DECISION_PREFIX) {
            let wanted_id = percent_decode_str(wanted_id).decode_utf8_lossy();
            return self.decision(&caller, &wanted_id.into_owned()).await;
        }
        let account = require_client_account(caller)?;
        match (&head.method, path) {
            (&Method::GET, "/v1/entries") => {
                Ok(respond::json(200, &self.backend.entries(&account)))
            }
            (&Method::POST, "/v1/completions") => {
                self.completion(CompletionApi::Text, &head, body, id, account)
                    .await
            }
            (&Method::POST, "/v1/chat/completions") => {
                self.completion(CompletionApi::Chat, &head, body, id, account)
                    .await
            }
            (&Method::POST, path) if path.starts_with(service::PREFIX) => {
                self.service(&head, body, id, account).await
            }
            _ => Err(no_such_endpoint()),
        }
    }

    async fn completion(
        &self,
        api: CompletionApi,
        head: &Parts,
        body: Incoming,
        id: &RequestId,
        account: ClientAccountId,
    ) -> Result<HttpResponse, Refusal> {
        let idempotency_key = service::idempotency_key(&head.headers)?;
        let body = read_body(body, &self.settings).await?;
        let mut job = CompletionBody::parse(&body)?.into_job(api, id.clone(), account)?;
        job.idempotency_key = idempotency_key;
        let formatter = ResponseFormatter {
            api,
            request: id.clone(),
            model: job.model.clone(),
        };
        let stream = job.stream;
        let completion = self.backend.start_completion(job).await?;
        Ok(if stream {
            formatter.stream(completion)
        } else {
            formatter.whole(completion).await
        })
    }

    async fn service(
        &self,
        head: &Parts,
        body: Incoming,
        id: &RequestId,
        account: ClientAccountId,
    ) -> Result<HttpResponse, Refusal> {
        let body = read_body(body, &self.settings).await?;
        let job = service::parse_job(&head.uri, &head.headers, id.clone(), account, body)?;
        let response = self.backend.call_service(job).await?;
        Ok(service::http_response(response))
    }

    async fn decision(
        &self,
        caller: &Caller,
        wanted_id: &RequestId,
    ) -> Result<HttpResponse, Refusal> {
        let record = self.backend.decision(wanted_id).await;
        let visible = record.filter(|record| match caller {
            Caller::Operator => true,
            Caller::ClientAccount(account) => *account == record.client_account,
        });
        match visible {
            Some(record) => Ok(respond::json(200, &record)),
            None => Err(Refusal::not_run(
                RefusalKind::NotFound,
                "no such decision; records are kept for hours, check the request id",
            )),
        }
    }

    async fn operator(
        &self,
        caller: &Caller,
        head: &Parts,
        body: Incoming,
    ) -> Result<HttpResponse, Refusal> {
        if *caller != Caller::Operator {
            return Err(Refusal::not_run(
                RefusalKind::Forbidden,
                "this request needs an operator's key; send one",
            ));
        }
        let if_match = readable_header(&head.headers, "if-match")?;
        let if_none_match = readable_header(&head.headers, "if-none-match")?;
        let change_id = readable_header(&head.headers, "x-change-id")?;
        let body = read_body(body, &self.settings).await?;
        let path = head.uri.path();
        let request = OperatorRequest {
            method: head.method.as_str().to_owned(),
            path: path[OPERATOR_PREFIX.len()..].to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            if_match,
            if_none_match,
            change_id,
            body,
        };
        let response = self.backend.handle_operator_request(request).await;
        Ok(respond::json(response.status, &response.body))
    }
}

fn require_client_account(caller: Caller) -> Result<ClientAccountId, Refusal> {
    match caller {
        Caller::ClientAccount(account) => Ok(account),
        Caller::Operator => Err(Refusal::not_run(
            RefusalKind::Forbidden,
            "this request needs a client account's key; send one",
        )),
    }
}

fn no_such_endpoint() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        "no endpoint has this method and path; see docs/API.md for all endpoints",
    )
}
