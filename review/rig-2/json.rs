//! A small reader of JSON, and base64.

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word,
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// A table.
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Reads a value; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim_start();
        value(&mut rest)
    }

    /// A field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(fields) = self else { return None };
        fields.iter().find(|(known, _)| known == name).map(|(_, value)| value)
    }

    /// The items of a list.
    pub fn items(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    /// A text.
    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    /// A whole number.
    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }
}

fn skip<'a>(rest: &mut &'a str, sign: char) -> Option<()> {
    *rest = rest.strip_prefix(sign)?.trim_start();
    Some(())
}

fn value(rest: &mut &str) -> Option<Json> {
    match rest.chars().next()? {
        '{' => {
            skip(rest, '{')?;
            let mut fields = Vec::new();
            while !rest.starts_with('}') {
                let name = text(rest)?;
                skip(rest, ':')?;
                fields.push((name, value(rest)?));
                let _ = skip(rest, ',');
            }
            skip(rest, '}')?;
            Some(Json::Table(fields))
        }
        '[' => {
            skip(rest, '[')?;
            let mut items = Vec::new();
            while !rest.starts_with(']') {
                items.push(value(rest)?);
                let _ = skip(rest, ',');
            }
            skip(rest, ']')?;
            Some(Json::List(items))
        }
        '"' => text(rest).map(Json::Text),
        _ => {
            let end = rest.find([',', '}', ']', ' ', '\n']).unwrap_or(rest.len());
            let word = &rest[..end];
            *rest = rest[end..].trim_start();
            Some(word.parse().map_or(Json::Word, Json::Number))
        }
    }
}

/// Reads a text without escapes beyond the simple ones.
fn text(rest: &mut &str) -> Option<String> {
    let mut signs = rest.strip_prefix('"')?.char_indices();
    let mut read = String::new();
    while let Some((place, sign)) = signs.next() {
        match sign {
            '"' => {
                *rest = rest[place + 2..].trim_start();
                return Some(read);
            }
            '\\' => read.push(signs.next()?.1),
            _ => read.push(sign),
        }
    }
    None
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= three.len() { char::from(sign) } else { '=' });
        }
    }
    text
}
