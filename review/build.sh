#!/usr/bin/env bash
# Builds the program that plays the cases and holds all their stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
