//! Assignment of endpoint watchers, and distribution of endpoint load to other daemons.
//!
//! Each endpoint has two watchers in different zones, selected by rendezvous hashing over
//! the live daemons of its region. A watcher polls the endpoint's load reports, quantises
//! them, and sends changes to its subscribers: the daemons whose subset contains the
//! endpoint. Polling and sending are each limited to a byte rate.

mod assignment;
mod load;
mod reader;
mod schedule;
mod sender;

pub use assignment::{
    Assignment, MAX_READ_PERIOD, MIN_READ_PERIOD, READ_BYTES_PER_SECOND, REPORT_BYTES,
    Subscription, WATCHERS, WatchRing, WatcherRole, own_assignments, read_period, subscriptions,
    watchers_of,
};
pub use load::{EndpointTag, LoadDigest, LoadUpdate, QuantisedLoad, ReadingAge, WaitClass};
pub use reader::{LOAD_TTL, LoadView, ReceivedLoad};
pub use schedule::{
    FIRST_UPDATE_TIMEOUT, ReadSchedule, SUBSCRIBE_PERIOD, UNUSED_PERIOD, WatchInput,
    WatchedEndpoint, WatchingMember,
};
pub use sender::{
    DIGEST_BYTES_PER_SECOND, DigestSender, LoadMessage, MIN_SEND_PERIOD, REFRESH_PERIOD,
    SUBSCRIPTION_TTL,
};
