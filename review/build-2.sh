#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
cd "$(dirname "$0")/.." && exec go build -tags review2 -o target/case-2 ./review/standin2
