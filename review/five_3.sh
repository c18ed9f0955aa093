#!/bin/sh
# Runs a case five times, and once without its disruption: ./five_3.sh N
cd "$(dirname "$0")/$1" || exit 2
TROUBLE=0 ./run.sh >/dev/null; echo "without the disruption: exit code $?"
for run in 1 2 3 4 5; do
  ./run.sh >/dev/null; echo "run $run: exit code $?"
done
