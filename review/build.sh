#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../bin/standins .
