//! Answers after which the connection ends.

use hyper::{
    Response, Version,
    header::{CONNECTION, HeaderValue},
};

/// Has the server close the connection after this response to a request of `version`, and the head say so.
pub fn close_after<ResponseBody>(version: Version, response: &mut Response<ResponseBody>) {
    // Otherwise the server adds `keep-alive` where a caller that speaks HTTP/1.0 asks for it, even to `close`.
    *response.version_mut() = version;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}
