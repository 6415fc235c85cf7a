#!/usr/bin/env bash
# Runs case 13. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cactusline ] || [ ! -x target/rig-3 ]; then
	echo "build first: the command of deploy/system.toml, then review/build-3.sh"
	exit 2
fi
exec target/rig-3 13 target/cactusline review/13/record.txt
