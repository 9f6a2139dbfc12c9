#!/usr/bin/env bash
# Builds the stand-ins of all scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
CGO_ENABLED=0 go build -o target/review/standin ./review/standin
