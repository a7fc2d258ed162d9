#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruptions out.
set -uo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
. "$root/bin/jdk.sh"
[ -d "$root/target/review-2" ] && [ -d "$root/target/runtime" ] || { echo "build first" >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$JAVA_HOME/bin/java" -Xmx512m -Dtrial.root="$root" -Dtrial.folder="$folder" \
  -cp "$root/target/review-2:$root/target/lib/*" StaleGrantor "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
