#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review. Needs no network: the package has no
# dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
