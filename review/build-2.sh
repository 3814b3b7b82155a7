#!/usr/bin/env bash
# Builds the stand-in programs of the cases 6 to 10. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -overlay review/overlay-2.json -o bin/review-standin-2 ./review/standin-2
