#!/usr/bin/env bash
# Builds the one program with all stand-ins and the drivers of the cases. Needs no network beyond what the
# build of the deploy file has fetched.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -overlay review/overlay.json -o bin/review-standin ./review/standin
