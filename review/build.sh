#!/bin/sh
# Builds the stand-ins and drivers of the cases. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review/ ./review/...
