//! A small JSON value, enough for the bodies of the platform's store.

use std::collections::BTreeMap;
use std::fmt;

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
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            position: 0,
        };
        parser.value()
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            _ => quoted.push(character),
        }
    }
    quoted.push('"');
    quoted
}

impl fmt::Display for Json {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => formatter.write_str("null"),
            Self::Bool(value) => write!(formatter, "{value}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Text(text) => formatter.write_str(&quote(text)),
            Self::List(list) => {
                let items: Vec<String> = list.iter().map(ToString::to_string).collect();
                write!(formatter, "[{}]", items.join(","))
            }
            Self::Object(fields) => {
                let items = fields.iter();
                let items: Vec<String> = items
                    .map(|(key, value)| format!("{}:{value}", quote(key)))
                    .collect();
                write!(formatter, "{{{}}}", items.join(","))
            }
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self
            .bytes
            .get(self.position)
            .is_some_and(u8::is_ascii_whitespace)
        {
            self.position += 1;
        }
        self.bytes.get(self.position).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let end = self.position + word.len();
        (self.bytes.get(self.position..end)? == word.as_bytes()).then(|| {
            self.position = end;
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.take(b'[')?;
                let mut list = Vec::new();
                while self.peek()? != b']' {
                    list.push(self.value()?);
                    if self.peek()? == b',' {
                        self.take(b',')?;
                    }
                }
                self.take(b']')?;
                Some(Json::List(list))
            }
            b'{' => {
                self.take(b'{')?;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.insert(key, self.value()?);
                    if self.peek()? == b',' {
                        self.take(b',')?;
                    }
                }
                self.take(b'}')?;
                Some(Json::Object(fields))
            }
            _ => {
                let start = self.position;
                while self
                    .bytes
                    .get(self.position)
                    .is_some_and(|byte| b"+-.0123456789eE".contains(byte))
                {
                    self.position += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.position)?;
                    self.position += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code)?;
                            let mut buffer = [0; 4];
                            text.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = (number >> (18 - 6 * position)) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
