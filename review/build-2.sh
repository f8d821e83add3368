#!/bin/sh
# Builds the stand-ins and drivers of the cases 4 to 8. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review2 -o target/review-2/ ./review/...
