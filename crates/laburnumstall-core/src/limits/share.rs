//! The message by which entries split customers' contracts.

use crate::domain;
use crate::ids::{CustomerId, DaemonId};
use crate::units::Timestamp;

domain! {
    /// What one entry sees of a customer's demand.
    pub struct Demand {
        /// The customer.
        pub customer: CustomerId,
        /// Requests offered in a second, in thousandths.
        pub requests_milli: u64,
        /// Tokens offered in a second.
        pub tokens: u64,
    }

    /// A part of a contract that one entry leaves to another until the message's time.
    pub struct Loan {
        /// Entry that may use it.
        pub to: DaemonId,
        /// Customer whose contract it is.
        pub customer: CustomerId,
        /// Requests a second, in thousandths.
        pub requests_milli: u64,
        /// Tokens a second.
        pub tokens: u64,
    }

    /// What one entry tells the others of its parts of the contracts.
    pub struct LimitShare {
        /// When the loans end.
        pub until: Timestamp,
        /// Demand of the customers that were active.
        pub demands: Vec<Demand>,
        /// Loans to other entries.
        pub loans: Vec<Loan>,
    }
}
