#!/usr/bin/env bash
# Start a small deployment, send one query and a short load, and stop all
# processes.
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
python - <<'PYTHON'
import time
import urllib.request


def fetch(path, port=25000, body=None):
    url = f"http://127.0.0.1:{port}{path}"
    return urllib.request.urlopen(url, data=body, timeout=5).read().decode()


for port in (25000, 25001, 25002):
    for _ in range(200):
        try:
            fetch("/readyz", port)
            break
        except OSError:
            time.sleep(0.1)
time.sleep(2)
print("== one query", flush=True)
body = b'{"route": "pitch-lookup", "query": {"q": 1}, "deadline_ms": 2000}'
print(fetch("/v1/query", body=body), flush=True)
PYTHON
echo "== status and members"
berylspool ctl --settings "$settings" show status
berylspool ctl --settings "$settings" show members
echo "== a short load"
berylspool load --settings "$settings" --route pitch-lookup --rate 60 --duration-s 8
