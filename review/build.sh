#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The program of the
# deploy file must have been built before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/drill
