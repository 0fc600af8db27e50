//! Reading of the query of a request.

/// The value of `name` in a query, with `%XX` and `+` decoded; an error says what is wrong.
pub(crate) fn read_query(query: Option<&str>, name: &str) -> Result<String, String> {
    let mut pairs = query.unwrap_or_default().split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    let value = value.ok_or_else(|| format!("the query lacks {name}="))?;
    decode(value).ok_or_else(|| format!("{name} is not percent-encoded UTF-8"))
}

fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                let digits = std::str::from_utf8(&digits).ok()?;
                // The parser would take a sign.
                let valid = digits.bytes().all(|it| it.is_ascii_hexdigit());
                u8::from_str_radix(digits, 16).ok().filter(|_| valid)?
            }
            b'+' => b' ',
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
}
