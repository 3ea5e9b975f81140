#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
CGO_ENABLED=0 GOWORK=off go build -o ../../target/review-2 .
