//! A small JSON reader and writer.

use std::{collections::BTreeMap, fmt};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(it) => it.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(it) => it,
            _ => "",
        }
    }

    pub fn int(&self) -> u64 {
        match self {
            Json::Number(it) => *it as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(it) => it,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(it) => write!(f, "{it}"),
            Json::Number(it) if it.fract() == 0.0 => write!(f, "{}", *it as i64),
            Json::Number(it) => write!(f, "{it}"),
            Json::Text(it) => f.write_str(&quote(it)),
            Json::List(it) => {
                f.write_str("[")?;
                for (at, it) in it.iter().enumerate() {
                    write!(f, "{}{it}", if at > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Object(it) => {
                f.write_str("{")?;
                for (at, (key, it)) in it.iter().enumerate() {
                    write!(f, "{}{}:{it}", if at > 0 { "," } else { "" }, quote(key))?;
                }
                f.write_str("}")
            }
        }
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
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

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn peek(&mut self) -> Option<u8> {
        self.space();
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    match self.peek()? {
                        b']' => break,
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
                self.at += 1;
                Some(Json::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut object = BTreeMap::new();
                loop {
                    match self.peek()? {
                        b'}' => break,
                        b',' => self.at += 1,
                        _ => {
                            let key = self.string()?;
                            (self.peek()? == b':').then(|| self.at += 1)?;
                            object.insert(key, self.value()?);
                        }
                    }
                }
                self.at += 1;
                Some(Json::Object(object))
            }
            _ => {
                let begin = self.at;
                while self.bytes.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[begin..self.at])
                    .ok()?
                    .parse()
                    .ok()
                    .map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    let c = match *self.bytes.get(self.at)? {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let hex = self.bytes.get(self.at + 1..self.at + 5)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            char::from_u32(code.ok()?).unwrap_or('?')
                        }
                        other => other as char,
                    };
                    out.extend(c.to_string().bytes());
                }
                other => out.push(other),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(out).ok()
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().fold(0u32, |sum, it| sum << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            let value = (word >> (18 - 6 * digit)) & 63;
            out.push(if digit <= chunk.len() { DIGITS[value as usize] as char } else { '=' });
        }
    }
    out
}

/// Decodes base64.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|it| DIGITS.iter().position(|digit| *digit == it))
        .map(|it| it as u32)
        .collect();
    for chunk in digits.chunks(4) {
        let word = chunk.iter().fold(0u32, |sum, it| sum << 6 | it) << (6 * (4 - chunk.len()));
        out.extend((0..chunk.len().saturating_sub(1)).map(|it| (word >> (16 - 8 * it)) as u8));
    }
    out
}
