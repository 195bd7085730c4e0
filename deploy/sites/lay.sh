#!/usr/bin/env bash
# Lays the bench's files beside every site file here: lay.sh [KIT], by default ../given/kit from the repository's root.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
kit=${1:-$here/../../../given/kit}
from=$kit/more/mass/other # the kit's own example of another operator's site, with all that a site needs beside it

for name in real.json wire.json unlock.txt; do
  if [[ ! -r $from/$name ]]; then
    echo "lay.sh: $from/$name is missing; name the kit's folder: deploy/sites/lay.sh KIT" >&2
    exit 1
  fi
done
for site in "$here"/*/; do
  cp -- "$from/real.json" "$from/wire.json" "$from/unlock.txt" "$site"
done
