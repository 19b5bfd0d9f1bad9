//! Times of a stream's events in the log.

use crate::support::{at, call_attributes, endpoint, gateway, prompt};

/// Streams were late on one deployment, and the log did not tell whether their first event came
/// late or a pause was too long.
#[test]
fn finish_tells_first_event_and_pause() {
    let mut gateway = gateway(&[endpoint("engine-1", "model", "north-a")]);
    gateway.on_store_confirmed(at(1_000), at(1_000));
    let mut attributes = call_attributes("call-1", "/digest/1");
    attributes.prompt = Some(prompt(1, 500, 500));
    let mut call = gateway.admit(at(1_000), attributes).unwrap();
    let mut attempt = gateway.select_endpoint(at(1_000), &mut call).unwrap();
    gateway.on_sent(&mut call);
    for (event, ms) in [1_150, 1_200, 1_900, 1_950].into_iter().enumerate() {
        if event == 0 {
            gateway.on_started(at(ms), &mut call, &mut attempt);
        }
        call.on_event(at(ms));
    }
    gateway.succeed(at(1_960), attempt);
    gateway.take_decisions();
    gateway.end(at(1_960), call, "answered", 200);
    let line = gateway.take_decisions()[0].to_string();
    assert!(line.contains("events=4"), "{line}");
    assert!(line.contains("first_ms=150 pause_ms=700"), "{line}");
}
