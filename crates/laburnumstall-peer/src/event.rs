//! What an endpoint reports to its owner.

use std::fmt;

use laburnumstall_core::ids::DaemonId;

use crate::Lane;

/// Why a link was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LostReason {
    /// Nothing listens at the address, or another life of a daemon does: the process is
    /// gone.
    Refused,
    /// The other side no longer knows the connection.
    Reset,
    /// The other side was silent for the idle or connect timeout.
    TimedOut,
    /// The other side closed the connection, or it was replaced here.
    Closed,
    /// The other side doesn't accept this daemon's certificate, no certificate of the other
    /// side is known, or the protocol or a frame was wrong.
    BadPeer,
}

impl LostReason {
    /// Returns the name written in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::TimedOut => "timed-out",
            Self::Closed => "closed",
            Self::BadPeer => "bad-peer",
        }
    }
}

impl fmt::Display for LostReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A report of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerEvent<M> {
    /// A message arrived.
    Message {
        /// Daemon that sent it.
        from: DaemonId,
        /// What it sent.
        message: M,
    },
    /// A link is up: the other side accepted it.
    Connected {
        /// Daemon at the other end.
        to: DaemonId,
    },
    /// A link was lost or could not be made. The next send connects anew.
    Lost {
        /// Daemon at the other end.
        to: DaemonId,
        /// Why.
        reason: LostReason,
        /// Messages that were never written: they have certainly not arrived.
        undelivered: Vec<M>,
        /// Number of messages written on this connection. Of each lane, the first of
        /// them have arrived and the rest have not; how many is unknown.
        unconfirmed: u64,
    },
    /// A peer sent something that is not a valid frame; its connection was closed.
    BadFrame {
        /// Daemon that sent it.
        from: DaemonId,
        /// What was wrong.
        fault: crate::frame::FrameError,
    },
    /// A probe ended.
    Probed {
        /// Daemon that was probed.
        to: DaemonId,
        /// Whether the daemon answered on a new connection.
        alive: bool,
        /// Whether the process is gone, as for [`LostReason::Refused`].
        refused: bool,
    },
}

/// Why a message was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFault {
    /// The lane's queue is full.
    QueueFull,
    /// The message is larger than a frame may be.
    TooLarge,
    /// The message could not be encoded.
    Unencodable,
    /// The endpoint is closing.
    Closing,
}

impl fmt::Display for SendFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::QueueFull => "queue-full",
            Self::TooLarge => "too-large",
            Self::Unencodable => "unencodable",
            Self::Closing => "closing",
        })
    }
}

/// A message that was not queued; it has certainly not been sent.
#[derive(Debug)]
pub struct SendError<M> {
    /// Daemon that it was for.
    pub to: DaemonId,
    /// Lane that it was for.
    pub lane: Lane,
    /// Why it was not queued.
    pub fault: SendFault,
    /// The message, given back.
    pub message: M,
}

impl<M> fmt::Display for SendError<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "message to {} on lane {} not queued: {}",
            self.to, self.lane, self.fault
        )
    }
}

impl<M: fmt::Debug> std::error::Error for SendError<M> {}
