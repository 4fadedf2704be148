#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review-2/release/standins-2
if [ ! -x "$program" ] || [ ! -x target/release/vanillakeel-platform ]; then
    echo "build the deploy file's program and run review/build-2.sh first"
    exit 2
fi
exec "$program" stopped_in_turn "$folder"
