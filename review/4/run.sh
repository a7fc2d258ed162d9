#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out; SEED sets the seed of the callers and the stand-ins.
set -euo pipefail
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$folder/../.." && pwd)
. "$root/bin/jdk.sh"
if ! [ -x "$root/target/runtime/bin/java" ] || ! [ -d "$root/target/review" ]; then
  echo "first run the build of the deploy file and review/build.sh" >&2
  exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx1g -cp "$root/target/review:$root/target/lib/*" ReturningGrantor "$root" "$folder"
