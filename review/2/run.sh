#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/carawaypoint ] || [ ! -x review/out/standin ]; then
    echo "build first: the build command of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 5 110 review/out/standin crashing-request --binary target/carawaypoint --template deploy/gateway.ini --dir "$dir" \
    --record "$here/record.txt" --trouble "${TROUBLE:-1}"
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
