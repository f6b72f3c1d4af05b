#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/lichenshelf ] && [ -x bin/review-driver ] || { echo "build first: deploy/balancer.toml and review/build.sh" >&2; exit 2; }
exec bin/review-driver 3 review/3/record.txt
