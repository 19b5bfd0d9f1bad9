//! Lanes of a link and the queue of encoded messages that each has.

use laburnumstall_core::message::Lane;
use serde::{Serialize, de::DeserializeOwned};

use crate::SendFault;
use crate::frame::{self, FrameDecoder, FrameError};

/// Most bytes queued on the control lane of one link.
const CONTROL_QUEUE_BYTES: usize = 8 << 20;

/// Most bytes queued on the bulk lane of one link.
const BULK_QUEUE_BYTES: usize = 32 << 20;

/// What a link makes of a lane: a stream of its own, so that bulk data never delays control
/// messages.
pub(crate) trait LinkLane: Sized {
    /// All lanes.
    const ALL: [Self; 2];

    /// Position in arrays.
    fn index(self) -> usize;

    /// Byte that names the lane at the start of its stream.
    fn code(self) -> u8;

    /// Priority of the stream; a higher number is sent first.
    fn priority(self) -> i32;

    /// Most bytes queued on the lane of one link.
    fn capacity(self) -> usize;
}

impl LinkLane for Lane {
    const ALL: [Self; 2] = [Self::Control, Self::Bulk];

    fn index(self) -> usize {
        match self {
            Self::Control => 0,
            Self::Bulk => 1,
        }
    }

    fn code(self) -> u8 {
        match self {
            Self::Control => 0,
            Self::Bulk => 1,
        }
    }

    fn priority(self) -> i32 {
        match self {
            Self::Control => 1,
            Self::Bulk => 0,
        }
    }

    fn capacity(self) -> usize {
        match self {
            Self::Control => CONTROL_QUEUE_BYTES,
            Self::Bulk => BULK_QUEUE_BYTES,
        }
    }
}

/// Encoded messages that wait for the link.
#[derive(Debug, Default)]
pub(crate) struct LaneQueue {
    buf: Vec<u8>,
    messages: u64,
}

/// All that was queued when a write began.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Frames, one after the other.
    pub(crate) bytes: Vec<u8>,
    /// Number of frames.
    pub(crate) messages: u64,
}

impl LaneQueue {
    /// Encodes `message` at the end of the queue; on a fault the queue is unchanged.
    pub(crate) fn push<M: Serialize>(&mut self, lane: Lane, message: &M) -> Result<(), SendFault> {
        let start = self.buf.len();
        let outcome = frame::encode(message, &mut self.buf);
        let fault = match outcome {
            Ok(()) if self.buf.len() <= lane.capacity() => None,
            Ok(()) => Some(SendFault::QueueFull),
            Err(FrameError::TooLarge { .. }) => Some(SendFault::TooLarge),
            Err(_) => Some(SendFault::Unencodable),
        };
        match fault {
            Some(fault) => {
                self.buf.truncate(start);
                Err(fault)
            }
            None => {
                self.messages += 1;
                Ok(())
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Takes everything queued, or nothing if the queue is empty.
    pub(crate) fn take(&mut self) -> Option<Batch> {
        if self.is_empty() {
            return None;
        }
        Some(Batch {
            bytes: std::mem::take(&mut self.buf),
            messages: std::mem::take(&mut self.messages),
        })
    }

    /// Takes everything queued as messages again.
    pub(crate) fn take_messages<M: DeserializeOwned>(&mut self) -> Vec<M> {
        let Some(batch) = self.take() else {
            return Vec::new();
        };
        let mut decoder = FrameDecoder::default();
        decoder.push(&batch.bytes);
        let mut messages = Vec::new();
        while let Ok(Some(message)) = decoder.next_frame() {
            messages.push(message);
        }
        messages
    }
}
