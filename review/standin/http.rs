//! A small blocking HTTP/1.1 server and client on `std` alone.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request or an answer; header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| value.to_owned())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message. `None` if the connection ends before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let name = name.to_ascii_lowercase();
        message.headers.push((name, value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length").unwrap_or("0");
    message.body = vec![0; length.parse().unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

pub fn answer_json(stream: &mut TcpStream, status: &str, body: &str) {
    let json = [("Content-Type", "application/json")];
    answer(stream, status, &json, body.as_bytes());
}

/// A listener that can be closed together with its connections.
pub struct Server {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves every request with `handle`, one thread a connection. The connection ends when `handle`
    /// returns false.
    pub fn start<Handle>(handle: Handle) -> Self
    where
        Handle: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        Self::start_at(([127, 0, 0, 1], 0).into(), handle)
    }

    /// Serves at `address`.
    pub fn start_at<Handle>(address: SocketAddr, handle: Handle) -> Self
    where
        Handle: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).expect("a free port");
        listener.set_nonblocking(true).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (closed, connections) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let server = Self {
            address,
            closed: closed.clone(),
            connections: Arc::clone(&connections),
        };
        let handle = Arc::new(handle);
        thread::spawn(move || {
            while !closed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().expect("connections").push(copy);
                }
                let handle = handle.clone();
                thread::spawn(move || {
                    let Ok(mut writer) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = read_message(&mut reader) {
                        if !handle(&request, &mut writer) {
                            let _ = writer.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        server
    }

    /// Refuses connections from now on, and ends those that are open.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Whether the peer has closed the connection.
pub fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0))
        || peeked.is_err_and(|error| error.kind() != io::ErrorKind::WouldBlock)
}

/// Sends one request on a new connection and reads the whole answer within `limit`.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    call_on(&mut stream, request, limit)
}

/// Sends one request on an open connection and reads the whole answer within `limit`.
pub fn call_on(stream: &mut TcpStream, request: &str, limit: Duration) -> io::Result<Message> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let until = Instant::now() + limit;
    let mut reader = BufReader::new(stream.try_clone()?);
    let message = read_message(&mut reader)?;
    if Instant::now() > until {
        return Err(io::ErrorKind::TimedOut.into());
    }
    message.ok_or_else(|| io::ErrorKind::ConnectionReset.into())
}
