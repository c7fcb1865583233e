#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. It uses the project's
# own store stand-in (internal/platformstand), which is built into it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/stand2
