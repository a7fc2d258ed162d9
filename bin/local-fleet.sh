# Starts and stops the processes of a small fleet on this machine. Sourced by quickstart and the measuring scripts.
# Everything listens on 127.0.0.1; only processes started here are ever stopped, by their process ids.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
run_dir=${RUN_DIR:-$(mktemp -d)}
store_port=17379
store_uri=http://127.0.0.1:$store_port
declare -A pids=()
export DRAGONFLY_SECRET=${DRAGONFLY_SECRET:-quickstart-only}
export DRAGONFLY_STORE=$store_uri

start_process() { # name command...
  local name=$1
  shift
  "$@" >"$run_dir/$name.out" 2>"$run_dir/$name.log" &
  pids[$name]=$!
}

stop_process() { # name signal
  local pid=${pids[$1]:-}
  if [ -n "$pid" ]; then
    kill "-${2:-KILL}" "$pid" 2>/dev/null || true
    if [ "${2:-KILL}" = KILL ]; then
      wait "$pid" 2>/dev/null || true
    fi
  fi
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

start_store() {
  start_process store "$root/bin/dragonfly-standin" --role store --listen 127.0.0.1:$store_port
}

start_target() { # name port slots fencing [service-micros]
  start_process "$1" "$root/bin/dragonfly-standin" --role target --name "$1" --listen "127.0.0.1:$2" \
    --slots "$3" --fencing "$4" --service-micros "${5:-2000}"
}

start_entry() { # name domain index: callers on 17500+index, peers on 17600+index, admin on 17700+index
  start_process "$1" "$root/bin/dragonfly-entry" --name "$1" --domain "$2" \
    --listen "127.0.0.1:$((17500 + $3))" --peer "127.0.0.1:$((17600 + $3))" --admin "127.0.0.1:$((17700 + $3))" \
    --seeds 127.0.0.1:17601,127.0.0.1:17602,127.0.0.1:17603
}

ctl() {
  "$root/bin/dragonflyctl" "$@"
}

wait_until() { # seconds command...: until the command succeeds
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$limit" ] || return 1
    sleep 0.1
  done
}

ready() { # index
  curl -sf "http://127.0.0.1:$((17700 + $1))/ready"
}
