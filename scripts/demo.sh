#!/usr/bin/env bash
# Runs stand-ins and three entry instances on loopback, publishes a directory of
# service files, and sends queries and one call. All processes are ended on exit.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
services=${1:-examples/baric}
index=${2:-listings}
calls=${3:-enquiry-log}
site=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$site"
}
trap finish EXIT

address() { awk -v key="$2:" '$1 == key { print $2 }' "$site/$1.yaml"; }

wait_for() {
    for _ in $(seq 100); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

# Queries are idempotent: one that is refused, for instance on a busy computer, is
# retried.
ask() {
    for _ in $(seq 5); do
        if "$bin/savorypond-load" ask "$@"; then return 0; fi
        sleep 0.5
    done
    echo "gave up asking: $*" >&2
    return 1
}

echo "== check the service files"
"$bin/savorypond-check" "$services"

echo "== plan a site on loopback and start its stand-ins"
"$bin/savorypond-standin" plan "$services" "$site" --link-ms 3
"$bin/savorypond-standin" serve "$site" >"$site/standin.log" 2>&1 &
pids+=($!)
wait_for grep -q serving "$site/standin.log"

echo "== start three entry instances"
for name in entry-1 entry-2 entry-3; do
    "$bin/savorypond-entry" "$site/$name.yaml" >"$site/$name.log" 2>&1 &
    pids+=($!)
done

echo "== bundle the service files and publish them"
"$bin/savorypond-bundle" "$site/services" --first --values \
    --output "$site/publication.json"
"$bin/savorypond-standin" publish "$site" "$site/publication.json"
wait_for "$bin/savorypond-status" "$site"/entry-*.yaml --ready

echo "== what the instances believe"
"$bin/savorypond-status" "$site"/entry-*.yaml

echo "== ask queries"
for name in entry-1 entry-2 entry-3; do
    ask "$(address "$name" caller_address)" --index "$index"
done

echo "== make a call that runs once, sent to two instances"
"$bin/savorypond-load" call "$(address entry-1 caller_address)" \
    "$(address entry-2 caller_address)" --service "$calls"
echo "== done"
