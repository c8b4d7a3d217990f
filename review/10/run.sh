#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review-2/release/review-standins-2
[ -x "$driver" ] && [ -x target/release/ibisdale-vm ] || {
    echo "build the deploy file and run review/build-2.sh first"
    exit 2
}
exec "$driver" budget review/10/record.txt
