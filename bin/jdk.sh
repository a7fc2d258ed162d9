# Sets JAVA_HOME to a JDK of version 25 or newer, or says what is missing. Sourced by the launchers.
required_release=25

release_of() {
  [ -r "$1/release" ] && sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release"
}

usable() {
  [ -x "$1/bin/javac" ] && [ "$(release_of "$1" || true)" -ge "$required_release" ] 2>/dev/null
}

if ! usable "${JAVA_HOME:-/nonexistent}"; then
  JAVA_HOME=""
  for candidate in /usr/lib/jvm/*; do
    if usable "$candidate"; then
      JAVA_HOME=$candidate
    fi
  done
fi
if [ -z "$JAVA_HOME" ]; then
  echo "dragonflymux needs a JDK of version $required_release: set JAVA_HOME to one, or install it below /usr/lib/jvm" >&2
  exit 2
fi
export JAVA_HOME
