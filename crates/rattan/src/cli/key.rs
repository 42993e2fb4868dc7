//! Reads the operator's key and computes digests of keys.

use {super::ClientError, std::io::Read};

/// Largest size of a key read from standard input.
const MAX_KEY_BYTES: u64 = 4096;

/// Reads the operator's key from `key_file`, or from the environment if there is none.
pub(super) fn operator_key(key_file: Option<&str>) -> Result<String, ClientError> {
    let text = match key_file {
        Some(path) => std::fs::read_to_string(path).map_err(|error| {
            ClientError::usage(&format!(
                "--key-file {path} can't be read: {error}; correct the path"
            ))
        })?,
        None => std::env::var("RATTAN_OPERATOR_KEY").map_err(|_| {
            ClientError::usage("no operator's key; give --key-file FILE or set RATTAN_OPERATOR_KEY")
        })?,
    };
    let key = text.trim();
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(ClientError::usage(
            "the operator's key is empty or holds more than printable ASCII; check the key file",
        ));
    }
    Ok(key.to_owned())
}

/// Returns the BLAKE3 digest, in hex, of the key that `input` holds, without trailing line breaks.
pub(super) fn digest<Input>(input: Input) -> Result<String, ClientError>
where
    Input: Read,
{
    let mut text = String::new();
    let read = input.take(MAX_KEY_BYTES).read_to_string(&mut text);
    read.map_err(|error| ClientError::usage(&format!("standard input can't be read: {error}")))?;
    let key = text.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(ClientError::usage(
            "standard input is empty; pipe the key in",
        ));
    }
    Ok(hex::encode(blake3::hash(key.as_bytes()).as_bytes()))
}
