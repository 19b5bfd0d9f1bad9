//! Every JSON example of `docs/INTERFACES.md` is read and written back unchanged.

use laburnumstall_core::cloud::{EndpointOrder, OrderReply, OwnedVm, VmRequest};
use laburnumstall_core::resources::{LoadReport, Vm};
use laburnumstall_outside::cloud::{NoticePage, VmAnswer};
use laburnumstall_outside::endpoint::{CachePage, EngineChunk};
use laburnumstall_outside::key_value::wire::{WireCall, WireReply};
use laburnumstall_outside::weight_store::{Reservation, ReservedLoad, WeightRate};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/INTERFACES.md");

/// Opens a block; the name of its type follows.
const BLOCK: &str = "```json ";

/// Number of blocks on the page.
const EXAMPLES: usize = 30;

fn written_back<T: Serialize + DeserializeOwned>(example: &str) -> Value {
    let read: T = serde_json::from_str(example).unwrap_or_else(|e| panic!("{e}: {example}"));
    serde_json::to_value(read).unwrap()
}

fn read(kind: &str, example: &str) -> Value {
    match kind {
        "WireCall" => written_back::<WireCall>(example),
        "WireReply" => written_back::<WireReply>(example),
        "VmRequest" => written_back::<VmRequest>(example),
        "VmAnswer" => written_back::<VmAnswer>(example),
        "OwnedVm" => written_back::<OwnedVm>(example),
        "NoticePage" => written_back::<NoticePage>(example),
        "Vec<Vm>" => written_back::<Vec<Vm>>(example),
        "WeightRate" => written_back::<WeightRate>(example),
        "Reservation" => written_back::<Reservation>(example),
        "ReservedLoad" => written_back::<ReservedLoad>(example),
        "EngineChunk" => written_back::<EngineChunk>(example),
        "LoadReport" => written_back::<LoadReport>(example),
        "CachePage" => written_back::<CachePage>(example),
        "EndpointOrder" => written_back::<EndpointOrder>(example),
        "OrderReply" => written_back::<OrderReply>(example),
        other => panic!("unknown type {other}"),
    }
}

#[test]
fn examples_are_read_and_written() {
    let mut examples = 0;
    for block in PAGE.split(BLOCK).skip(1) {
        let (kind, rest) = block.split_once('\n').unwrap();
        let (example, _) = rest.split_once("```").unwrap();
        let expected: Value = serde_json::from_str(example).unwrap();
        assert_eq!(read(kind, example), expected, "{kind}");
        examples += 1;
    }
    assert_eq!(examples, EXAMPLES);
}
