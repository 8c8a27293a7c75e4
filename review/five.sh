#!/bin/sh
# Usage: five.sh CASE...  Runs each script five times, and twice without the disruption.
cd "$(dirname "$0")" || exit 2
for number in "$@"; do
    for turn in 1 2 3 4 5; do
        sh "$number/run.sh" >/dev/null 2>&1
        echo "case $number, run $turn: exit $?"
    done
    for turn in 1 2; do
        TROUBLE=0 sh "$number/run.sh" >/dev/null 2>&1
        echo "case $number, run $turn without the disruption: exit $?"
    done
done
