#!/bin/sh
# Builds the program that runs the scripted cases of the third review, and its stand-ins, into target/review-3/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/review-3 ./review/_cases3
