//! Just enough JSON and base64 for the store's calls.

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
        match self {
            Self::Table(fields) => {
                let found = fields.iter().find(|(key, _)| key == name);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
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
}

pub fn parse(text: &str) -> Json {
    let mut parser = Parser(text.as_bytes(), 0);
    parser.value()
}

struct Parser<'text>(&'text [u8], usize);

impl Parser<'_> {
    fn peek(&mut self) -> u8 {
        while self.0.get(self.1).is_some_and(u8::is_ascii_whitespace) {
            self.1 += 1;
        }
        self.0.get(self.1).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                let mut fields = Vec::new();
                self.1 += 1;
                while !matches!(self.peek(), b'}' | 0) {
                    let name = self.string();
                    self.peek();
                    self.1 += 1;
                    fields.push((name, self.value()));
                    if self.peek() == b',' {
                        self.1 += 1;
                    }
                }
                self.1 += 1;
                Json::Table(fields)
            }
            b'[' => {
                let mut entries = Vec::new();
                self.1 += 1;
                while !matches!(self.peek(), b']' | 0) {
                    entries.push(self.value());
                    if self.peek() == b',' {
                        self.1 += 1;
                    }
                }
                self.1 += 1;
                Json::List(entries)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let start = self.1;
                while self.1 < self.0.len() && !b",]} \n".contains(&self.0[self.1]) {
                    self.1 += 1;
                }
                let word = std::str::from_utf8(&self.0[start..self.1]).unwrap_or_default();
                match word {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    _ => word.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    /// Reads a string. The calls that are read here escape quotes and backslashes only.
    fn string(&mut self) -> String {
        self.peek();
        self.1 += 1;
        let mut bytes = Vec::new();
        while let Some(byte) = self.0.get(self.1).copied() {
            self.1 += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    bytes.extend(self.0.get(self.1));
                    self.1 += 1;
                }
                _ => bytes.push(byte),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|it| *it == byte) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}
