#!/usr/bin/env bash
# Start a small deployment, send a query and a short load, and stop it all.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
settings="$folder/settings.yaml"
cp examples/demo.yaml "$settings"
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap stop EXIT
run() { (cd "$folder" && exec berylspool "$@" 2>>"$folder/$1.log") & pids+=("$!"); }
run standin --settings "$settings"
for name in control-1 control-2 control-3; do run control --settings "$settings" --name "$name" --init; done
for name in entry-1 entry-2 entry-3; do run entry --settings "$settings" --name "$name"; done
for port in 25000 25001 25002; do
  for _ in $(seq 200); do
    curl -sf "http://127.0.0.1:$port/readyz" >/dev/null && break
    sleep 0.1
  done
done
echo "== one query"
curl -s "http://127.0.0.1:25000/v1/query" \
  -d '{"route": "pitch-lookup", "query": {"q": 1}, "deadline_ms": 1000}'
echo
echo "== a short load"
berylspool load --settings "$settings" --route pitch-lookup --rate 60 --duration-s 8
