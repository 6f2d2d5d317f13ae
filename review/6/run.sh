#!/usr/bin/env bash
# Exits with 1 if a request reached a server later than allowed after it left, 0 if not, 2 if the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
[ -x "$root/target/review-2/leaving" ] && [ -x "$root/target/egretline-platform" ] || { echo "build first" >&2; exit 2; }
cd "$root" || exit 2
"$root/target/review-2/leaving" "$root" "$work" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
