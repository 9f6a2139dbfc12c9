#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases of the second review start. Needs no network once the project's modules are there.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
CGO_ENABLED=1 go build -o target/review-2/ ./review/sim2
