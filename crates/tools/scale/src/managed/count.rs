//! Counts the bytes of a connection in both directions, without TCP and IP headers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpStream;
use tokio_util::io::{InspectReader, InspectWriter};

/// Bytes read and written so far, over all streams that it counts.
#[derive(Debug, Clone, Default)]
pub struct ByteCount(Arc<AtomicU64>);

type Inspect = Box<dyn FnMut(&[u8]) + Send>;

/// A stream whose bytes are counted.
pub type Counted = InspectWriter<InspectReader<TcpStream, Inspect>, Inspect>;

impl ByteCount {
    /// The number of bytes so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn inspect(&self) -> Inspect {
        let count = self.0.clone();
        Box::new(move |bytes| {
            count.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        })
    }

    /// Wraps a stream so that its bytes are counted.
    pub fn counted(&self, stream: TcpStream) -> Counted {
        InspectWriter::new(InspectReader::new(stream, self.inspect()), self.inspect())
    }
}
