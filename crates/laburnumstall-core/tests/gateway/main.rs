//! Decisions of the gateway, one file per feature, in virtual time.

mod call_admission;
mod capacity_scaling;
mod crash_evidence;
mod endpoint_limits;
mod endpoint_pauses;
mod endpoint_scaling;
mod endpoint_selection;
mod failed_calls;
mod fleet;
mod leaving_endpoints;
mod missed_clearances;
mod odd_entries;
mod out_of_step;
mod part_evidence;
mod peer_messages;
mod planned_stop;
mod quota_sharing;
mod restored_store;
mod retry_shares;
mod scaling_world;
mod silent_attempts;
mod store_view;
mod stored_origins;
mod stream_origins;
mod support;
mod usage_counts;
