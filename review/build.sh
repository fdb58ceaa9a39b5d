#!/bin/sh
# Builds the stand-ins of the scripted cases. The daemon comes from the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off go build -o ../bin/review-case .
