#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, which the scripts start beside
# the project's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$dir/main.go" ]; then
		go build -o "target/review-${dir#review/}" "./$dir"
	fi
done
go build -o target/review-calm ./review/rig/calm
