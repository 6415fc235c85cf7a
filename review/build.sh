#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start beside the project's own.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[1-5]; do
	if [ -f "$dir/main.go" ]; then
		go build -o "target/review-${dir#review/}" "./$dir"
	fi
done
