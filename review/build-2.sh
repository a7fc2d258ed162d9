#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The build of the deploy file comes first: it brings the libraries.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
. "$root/bin/jdk.sh"
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
"$JAVA_HOME/bin/javac" -Xlint:all,-processing,-serial,-try -cp "$root/target/lib/*" -d "$root/target/review-2" "$root"/review/standin-2/*.java
cp "$root/review/standin-2/platform.properties" "$root/target/review-2/"
