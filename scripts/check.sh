#!/usr/bin/env bash
# Checks format, vet, linter and module checksums. Prints each finding; exits with 1
# if there is any.
set -u
cd "$(dirname "$0")/.." || exit 1
bad=0
unformatted=$(gofmt -l cmd core io platform)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted"
	bad=1
fi
go vet ./... || bad=1
go tool staticcheck ./... || bad=1
go mod verify >/dev/null || bad=1
[ "$bad" -eq 0 ] && echo "check: clean"
exit "$bad"
