//! Access to fields of JSON objects, without decoding the rest.

/// Returns the end of the JSON value at the start of `text`.
fn value_end(text: &str) -> usize {
    let bytes = text.as_bytes();
    let (mut depth, mut in_string, mut i) = (0_i32, false, 0);
    while i < bytes.len() {
        match bytes[i] {
            b'\\' if in_string => i += 1,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return i,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    i
}

/// Returns the value of a field of the JSON object `text` as it is written there.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = text.trim().strip_prefix('{')?;
    loop {
        rest = rest.trim_start().trim_start_matches(',').trim_start();
        let key = rest.strip_prefix('"')?;
        let (key, after) = key.split_once('"')?;
        let value = after.trim_start().strip_prefix(':')?.trim_start();
        let end = value_end(value);
        if key == name {
            return Some(value[..end].trim());
        }
        rest = &value[end..];
    }
}

/// Returns a field that is a string without escapes.
pub fn text<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    field(json, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a field that is a whole number.
pub fn number(json: &str, name: &str) -> Option<u64> {
    field(json, name)?.parse().ok()
}
