#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/woaddyke ] || [ ! -x bin/review-standin ]; then
	echo "build first: the deploy file's build, then review/build.sh" >&2
	exit 2
fi
exec bin/review-standin keepers "review/1/record.txt"
