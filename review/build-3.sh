#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review3.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/stand3/...
