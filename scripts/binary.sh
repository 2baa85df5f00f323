#!/usr/bin/env bash
# Build dist/berylspool.pyz, a single file that runs without starting another
# process.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p dist
grep -vE '^(hypothesis|pytest|mypy|ruff|shiv|wheel|librt|pathspec|iniconfig|pluggy|types-PyYAML|sortedcontainers|ast_serialize|mypy_extensions)==' \
  requirements.lock > dist/runtime.lock
SOURCE_DATE_EPOCH=1700000000 .venv/bin/shiv --quiet --reproducible --no-modify \
  --console-script berylspool --python '/usr/bin/env python3.11' \
  --output-file dist/berylspool.pyz -r dist/runtime.lock . --no-build-isolation
ls -l dist/berylspool.pyz
