#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[[ -x $root/target/review/standins ]] || ../build.sh || exit 2
export ROOT=$root
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
export RUN_COMMAND
exec "$root/target/review/standins" parts record.txt
