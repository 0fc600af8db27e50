//! Query strings of request URIs.

/// Returns the value of the parameter `name` of a query string, with `%XX` and `+` decoded, or a
/// message that says why there is none.
pub(crate) fn query_param(query: Option<&str>, name: &str) -> Result<String, String> {
    let mut pairs = query.unwrap_or_default().split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let value = value.ok_or_else(|| format!("missing query parameter {name}"))?;
    decode(value).ok_or_else(|| format!("{name} is not percent-encoded UTF-8"))
}

/// Decodes `%XX` and `+`; returns `None` if the text is not percent-encoded UTF-8.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                let digits = std::str::from_utf8(&digits).ok()?;
                // `from_str_radix` also accepts a leading sign.
                let all_hex = digits.bytes().all(|it| it.is_ascii_hexdigit());
                u8::from_str_radix(digits, 16).ok().filter(|_| all_hex)?
            }
            b'+' => b' ',
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}
