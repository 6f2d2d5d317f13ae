#!/usr/bin/env bash
# Builds the programs that the scripts of the cases from 6 on start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/leaving ./review/_leaving
