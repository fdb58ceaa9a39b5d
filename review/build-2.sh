#!/usr/bin/env bash
# Builds the program of the second review's cases, which holds all their stand-ins. It needs
# the standard library alone.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/cases .
