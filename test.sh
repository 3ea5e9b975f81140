#!/usr/bin/env bash
# Runs every test of the workspace. Tests listed in KNOWN-RED.txt are run apart
# and printed, without a say in the verdict.
set -euo pipefail
cd "$(dirname "$0")"

known=""
if [ -f KNOWN-RED.txt ]; then
  known=$(awk '/^test: / {print $2}' KNOWN-RED.txt | paste -sd'|' -)
fi
if [ -z "$known" ]; then
  go test -count=1 ./... ./lab/...
  exit
fi
printf 'known red, listed in KNOWN-RED.txt: %s\n' "$known"
go test -count=1 -skip "^($known)\$" ./... ./lab/...
go test -count=1 -run "^($known)\$" ./... ./lab/... || printf 'known red tests failed, as listed\n'
