#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig-3 ./review/rig-3
