//! The gateway's decisions, one file a feature, in virtual time.

mod call_admission;
mod call_placing;
mod endpoint_scaling;
mod failed_calls;
mod quota_sharing;
mod store_view;
mod support;
mod usage_counts;
