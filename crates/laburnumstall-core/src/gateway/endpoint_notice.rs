//! What endpoints say of themselves in their responses.
//!
//! A notice holds for one process of an endpoint, whatever the key-value store says of it, and
//! every selection of an endpoint obeys it. The first daemon that learns of a change tells its
//! peers, and all daemons repeat what they know in case a message was lost.

use std::net::SocketAddr;

use super::Gateway;
use super::endpoint_table::EndpointProcess;
use super::peer_message::PeerProtocol;
use crate::domain;
use crate::ids::DaemonId;
use crate::units::Timestamp;

/// Interval, in gossip periods, at which all notices are repeated.
const REPEAT_INTERVAL: u32 = 4;

domain! {
    /// What an endpoint says of itself in a response.
    #[derive(Copy, Default)]
    pub struct EndpointNotice {
        /// Whether it leaves and takes no new calls.
        pub is_leaving: bool,
    }

    /// Notice of an endpoint, as daemons tell each other.
    pub struct SharedNotice {
        /// Process that the notice holds for.
        pub process: EndpointProcess,
        /// The notice.
        pub notice: EndpointNotice,
    }
}

/// Notices that wait to be sent to peers.
#[derive(Debug, Default)]
pub(super) struct NoticeOutbox {
    changed: Vec<SharedNotice>,
    repeated_at: Timestamp,
}

impl Gateway {
    /// Records what an endpoint said of itself in a response.
    pub fn on_endpoint_notice(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        notice: EndpointNotice,
    ) {
        if self.apply_notice(now, process, notice, "response") {
            self.notice_outbox.changed.push(SharedNotice {
                process: process.clone(),
                notice,
            });
        }
    }

    /// Records what peers know of endpoints.
    pub fn on_peer_notices(&mut self, now: Timestamp, notices: Vec<SharedNotice>) {
        for shared in notices {
            self.apply_notice(now, &shared.process, shared.notice, "peer");
        }
    }

    /// Returns the notices that are due, for each peer that decodes them.
    pub fn take_endpoint_notices(
        &mut self,
        now: Timestamp,
    ) -> Option<(Vec<(DaemonId, SocketAddr)>, Vec<SharedNotice>)> {
        let interval = self.peer_table.gossip_period() * REPEAT_INTERVAL;
        let outbox = &mut self.notice_outbox;
        let notices = if now.since(outbox.repeated_at) >= interval {
            outbox.repeated_at = now;
            outbox.changed.clear();
            self.endpoints.notices().collect()
        } else {
            std::mem::take(&mut outbox.changed)
        };
        if notices.is_empty() {
            return None;
        }
        let peers = self
            .peer_table
            .reachable(now)
            .filter(|peer| peer.protocol >= PeerProtocol::NEWEST)
            .map(|peer| (peer.member.id.clone(), peer.member.peer_address));
        Some((peers.collect(), notices))
    }

    fn apply_notice(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        notice: EndpointNotice,
        source: &str,
    ) -> bool {
        let is_changed = self
            .endpoints
            .on_notice(now, process, notice, source, &mut self.journal);
        if is_changed {
            self.load_balancer.set_endpoints(&self.endpoints);
        }
        is_changed
    }
}
