#!/usr/bin/env bash
# Runs the demonstration: a fleet on loopback under load and faults. Exits with 0 only if every guarantee held.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go run ./_scripts/demo
