#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, after the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$root/bin/jdk.sh"
rm -rf "$root/target/review"
mkdir -p "$root/target/review"
"$JAVA_HOME/bin/javac" -cp "$root/target/lib/*" -d "$root/target/review" "$root"/review/standin/*.java
cp "$root/review/standin/platform.properties" "$root/target/review/"
