//! Checks the head of a response. The codec of `actix-http` accepts blanks between a field's name and its colon, and any
//! status of three digits from 100 on (RFC 9112, section 5.1; RFC 9110, section 15).

use actix_http::StatusCode;

/// Statuses beyond this are none of HTTP; the codec refuses those below 100.
const MAX_STATUS: u16 = 599;

/// Returns whether the name of each field is a token, as far as the lines of the head have arrived. What the codec
/// refuses itself, such as a line without a colon, isn't looked for here.
pub(crate) fn has_valid_names(input: &[u8]) -> bool {
    let lines = input.split_inclusive(|byte| *byte == b'\n');
    let whole_lines = lines.filter_map(|line| line.strip_suffix(b"\n"));
    let lines = whole_lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    // The codec skips empty lines before the status line.
    let from_status = lines.skip_while(|line| line.is_empty());
    let mut fields = from_status.skip(1).take_while(|line| !line.is_empty());
    fields.all(has_valid_name)
}

fn has_valid_name(field: &[u8]) -> bool {
    let Some(len) = field.iter().position(|byte| *byte == b':') else {
        return true;
    };
    let name = &field[..len];
    !name.is_empty() && name.iter().copied().all(is_token_byte)
}

fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Returns whether a status is one of HTTP.
pub(crate) fn is_valid_status(status: StatusCode) -> bool {
    status.as_u16() <= MAX_STATUS
}
