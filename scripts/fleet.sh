# Sourced by scripts that start a fleet on loopback addresses. The caller sets
# `work`, a fresh folder; `stop_fleet` ends what was started, by pid.
bin=${bin:-build}
platform=${platform:-127.0.10.1:7000}
net=${net:-127.0.11}  # Node N has the address net.N.
pids=()

start() {  # start NAME COMMAND...: its log is work/NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"$work/$name.pid"
}

stop_one() {  # stop_one NAME [SIGNAL]: ends it and waits
  local pid
  pid=$(cat "$work/$1.pid")
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

start_store() {
  start store "$bin/standin_store" --listen "$platform" --data "$work/store.json"
}

node_settings() {  # node_settings NUMBER SERVICE DOMAIN
  cat <<YAML
node: {name: node-$1, failure_domain: $3, region: windhoek}
listen:
  callers: $net.$1:8080
  peers: $net.$1:8081
  control: $net.$1:8082
  admin: $net.$1:8083
upstream: {service: $2, address: "$net.$1:9000", slots: ${slots:-10}}
platform: {url: "http://$platform"}
drain_timeout: 10s
YAML
}

start_upstream() {  # start_upstream NUMBER
  start "upstream-$1" "$bin/standin_upstream" --listen "$net.$1:9000" \
    --name "upstream-$1" --slots "${slots:-10}"
}

start_node() {  # start_node NUMBER SERVICE DOMAIN
  node_settings "$@" >"$work/node-$1.yaml"
  start "node-$1" "$bin/verbenastile" node --settings "$work/node-$1.yaml"
}

wait_until() {  # wait_until SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

generation_of() {  # generation_of NUMBER
  "$bin/verbenastile" status --admin "$net.$1:8083" --output json |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["generation"])'
}

at_generation() {  # at_generation NUMBER GENERATION
  [ "$(generation_of "$1")" -ge "$2" ]
}

fetch() {  # fetch URL [METHOD] [BODY]: prints the answer
  "$bin/standin_load" --url "$1" --method "${2:-GET}" --body "${3:-}" \
    --count 1 --connections 1 --print
}
