#!/usr/bin/env bash
# Runs a case five times with its disruption and once without.
# Usage: review/five.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
  ./run.sh
  echo "run $run: exit code $?"
done
TROUBLE=0 ./run.sh
echo "without the disruption: exit code $?"
