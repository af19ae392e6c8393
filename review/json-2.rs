//! JSON, as much as the stand-ins need.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        let Json::Table(fields) = self else { return &Json::Null };
        fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Number(value) if value.fract() == 0.0 => write!(f, "{}", *value as i64),
            Json::Number(value) => write!(f, "{value}"),
            Json::Text(text) => f.write_str(&quoted(text)),
            Json::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Table(fields) => {
                f.write_str("{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    write!(f, "{}{}:{value}", if index > 0 { "," } else { "" }, quoted(key))?;
                }
                f.write_str("}")
            }
        }
    }
}

/// A text in quotation marks.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Table(fields));
                }
                let Json::Text(key) = value(bytes, at)? else { return None };
                skip_space(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                fields.push((key, value(bytes, at)?));
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List(items));
                }
                items.push(value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(out).ok()?));
                    }
                    b'\\' => {
                        *at += 1;
                        let c = match *bytes.get(*at)? {
                            b'n' => '\n',
                            b't' => '\t',
                            b'r' => '\r',
                            b'b' => '\u{8}',
                            b'f' => '\u{c}',
                            b'u' => {
                                let digits =
                                    std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                *at += 4;
                                char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                            }
                            other => other as char,
                        };
                        let mut buffer = [0; 4];
                        out.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                        *at += 1;
                    }
                    other => {
                        out.push(other);
                        *at += 1;
                    }
                }
            }
        }
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, meaning: Json) -> Option<Json> {
    let end = *at + word.len();
    (bytes.get(*at..end)? == word.as_bytes()).then(|| {
        *at = end;
        meaning
    })
}
