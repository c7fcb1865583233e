#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run the build of deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
