#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/orchidward ] && [ -x review/bin/drill ] || { echo "build first: the deploy file, then review/build.sh" >&2; exit 2; }
exec review/bin/drill failures target/orchidward "review/3/record.txt"
