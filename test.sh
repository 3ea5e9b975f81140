#!/usr/bin/env bash
# Runs every test of the workspace. Tests of clients beyond all limits run after the others, apart
# from their load. Tests listed in KNOWN-RED.txt are run apart and printed, without a say in the
# verdict.
set -euo pipefail
cd "$(dirname "$0")"

abuse=github.com/acaciaglade/acaciaglade/lab/abuse
others=$(go list ./... ./lab/... | grep -vx "$abuse")

# test_all runs the tests with some flags.
test_all() {
  local status=0
  # shellcheck disable=SC2086
  go test -count=1 "$@" $others || status=1
  go test -count=1 "$@" "$abuse" || status=1
  return $status
}

known=""
if [ -f KNOWN-RED.txt ]; then
  known=$(awk '/^test: / {print $2}' KNOWN-RED.txt | paste -sd'|' -)
fi
if [ -z "$known" ]; then
  test_all
  exit
fi
printf 'known red, listed in KNOWN-RED.txt: %s\n' "$known"
test_all -skip "^($known)\$"
test_all -run "^($known)\$" || printf 'known red tests failed, as listed\n'
