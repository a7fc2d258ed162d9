#!/usr/bin/env bash
# Builds the stand-ins of the third review below target/review-3.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$root/bin/jdk.sh"
rm -rf "$root/target/review-3"
mkdir -p "$root/target/review-3"
"$JAVA_HOME/bin/javac" -Xlint:all -d "$root/target/review-3" "$root"/review/standin-3/*.java
cp "$root/review/standin-3/platform.properties" "$root/target/review-3/"
