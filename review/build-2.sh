#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: clients, engines and a coordinator. They need no
# package and no network. The front itself is built by the command in deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir review/standins-2/target
