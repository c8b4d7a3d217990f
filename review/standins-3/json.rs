//! The part of JSON that the store needs, and standard base64.

use std::collections::BTreeMap;

/// A JSON value; numbers are whole.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(text, at)?;
                        skip_space(text, at);
                        *at += 1;
                        fields.insert(name, parse_value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => parse_text(text, at).map(Json::Text),
        b't' => {
            *at += 4;
            Some(Json::Bool)
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool)
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|byte| byte.is_ascii_digit() || b"-+.eE".contains(byte))
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[start..*at]).ok()?;
            number.parse().ok().map(Json::Number)
        }
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                bytes.push(match escaped {
                    b'n' => b'\n',
                    b't' => b'\t',
                    b'r' => b'\r',
                    other => other,
                });
            }
            other => bytes.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(data: &[u8]) -> String {
    let mut text = String::new();
    for chunk in data.chunks(3) {
        let bytes = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let number = (u32::from(bytes[0]) << 16) | (u32::from(bytes[1]) << 8) | u32::from(bytes[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let index = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut data = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else {
            break;
        };
        number = (number << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            data.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    data
}
