#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review; needs nothing but the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review
rustc --edition 2021 -O -o ../target/review/standins standins/main.rs
