//! The message with which entries share customers' contracts.

use crate::domain;
use crate::ids::{CustomerId, DaemonId};
use crate::units::Timestamp;

domain! {
    /// A customer's demand at one entry.
    pub struct Demand {
        /// Customer whose demand was measured.
        pub customer: CustomerId,
        /// Requests offered per second, in thousandths.
        pub requests_milli: u64,
        /// Tokens offered per second.
        pub tokens: u64,
    }

    /// A share of a contract that one entry lends to another until [`LimitShare::until`].
    pub struct Loan {
        /// Entry that borrows the share.
        pub to: DaemonId,
        /// Customer whose contract is shared.
        pub customer: CustomerId,
        /// Requests per second, in thousandths.
        pub requests_milli: u64,
        /// Tokens per second.
        pub tokens: u64,
    }

    /// One entry's demand and loans, broadcast to all other entries.
    pub struct LimitShare {
        /// Time at which the loans expire.
        pub until: Timestamp,
        /// Demand of active customers.
        pub demands: Vec<Demand>,
        /// Loans granted to other entries.
        pub loans: Vec<Loan>,
    }
}
