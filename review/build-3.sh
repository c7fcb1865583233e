#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the third review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
