#!/bin/sh
# Builds the stand-ins of the scripts into target/review/. It needs no module but its own.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review/standin .
