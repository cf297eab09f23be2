#!/bin/sh
# Runs an entry, two sides and stand-ins for the platform and engines on loopback, sends a streaming
# request and stops.
set -eu
cd "$(dirname "$0")/.."
python="${PYTHON:-.venv/bin/python}"
pids=""
stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 130' INT TERM
run() {
    "$python" -m "$@" 2>>"${TRIAL_LOG:-/dev/null}" &
    pids="$pids $!"
}
run tests.lib.platform --port 9000 --records examples/records.json --vms examples/vms.json
run tests.lib.engine --port 6001 --token-ms 40
run tests.lib.engine --port 6002 --token-ms 40
run pearshed side --settings examples/side-1.yaml
run pearshed side --settings examples/side-2.yaml
run pearshed entry --settings examples/entry-1.yaml
tries=0
until "$python" -m pearshed dump --admin 127.0.0.1:9101 --page readyz >/dev/null 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -gt 100 ]; then
        echo "the entry did not become ready; see the log named by TRIAL_LOG" >&2
        exit 1
    fi
    sleep 0.2
done
echo "the entry is ready; a streamed response through entry, side and engine:"
"$python" examples/ask.py "${1:-Draft a notice for the road office.}"
if [ -n "${TRIAL_KEEP:-}" ]; then
    echo "running until Ctrl-C; the entry listens on 127.0.0.1:8080, the key is demo-key"
    wait
fi
