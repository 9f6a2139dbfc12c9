#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
cd "$(dirname "$0")/.." && exec go build -o target/sim3 ./review/sim3
