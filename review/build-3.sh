#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review. Needs no network: the package has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-3
