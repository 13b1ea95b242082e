#!/bin/sh
# Builds the stand-ins of the scripts into target/review/.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS= GOWORK=off go build -o ../../target/review/standin .
