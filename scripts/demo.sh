#!/usr/bin/env bash
# Starts a store, backend servers and four hosts in two regions on loopback,
# sends one request of each rank, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
dir=$(mktemp -d)
pids=()
# Each run has its own address in 127.0.0.0/8, so that several can run at once.
ip=127.$((1 + $$ % 250)).$((1 + $$ / 250 % 250)).1

stop_all() {
  local status=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" || { echo "process $pid ended with status $?" >&2; status=1; }; done
  rm -rf "$dir"
  [ "$status" -eq 0 ] && echo "demo: all processes stopped"
  exit "$status"
}
trap stop_all EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

start_host() { # ID REGION FAILURE-DOMAIN PORT-BASE
  cat >"$dir/$1.ini" <<INI
[host]
id = $1
environment = trial
region = $2
failure-domain = $3

[listen]
callers = $ip:$(($4 + 0))
peers = $ip:$(($4 + 1))
lookup = $ip:$(($4 + 2))
agent = $ip:$(($4 + 3))
operators = $ip:$(($4 + 4))
agent-metrics = $ip:$(($4 + 5))
entry-metrics = $ip:$(($4 + 6))
lookup-metrics = $ip:$(($4 + 7))

[store]
url = http://$ip:7600

[peers]
agents = $ip:7713, $ip:7733
INI
  start "$1-agent" $bin/wisteria-agent --config "$dir/$1.ini"
  start "$1-lookup" $bin/wisteria-lookup --config "$dir/$1.ini"
  start "$1-entry" $bin/wisteria-entry --config "$dir/$1.ini"
}

sed "s/127\.0\.0\.1/$ip/" examples/demo/document.ini >"$dir/document.ini"

start store $bin/wisteria-standin store --listen $ip:7600
start booking-desk-1 $bin/wisteria-standin backend --name booking-desk-1 --slots 4 --listen $ip:7611
start booking-desk-2 $bin/wisteria-standin backend --name booking-desk-2 --slots 4 --listen $ip:7612
start inspection-log-1 $bin/wisteria-standin backend --name inspection-log-1 --slots 4 --listen $ip:7621
start inspection-log-2 $bin/wisteria-standin backend --name inspection-log-2 --slots 4 --listen $ip:7622
start_host bagmati-1 bagmati bagmati-a 7710
start_host bagmati-2 bagmati bagmati-b 7720
start_host gandaki-1 gandaki gandaki-a 7730
start_host gandaki-2 gandaki gandaki-b 7740

for _ in $(seq 50); do
  if $bin/wisteriactl --agent $ip:7714 apply "$dir/document.ini" 2>"$dir/apply.log"; then
    applied=1
    break
  fi
  sleep 0.2
done
[ -n "${applied:-}" ] || { cat "$dir/apply.log" >&2; exit 1; }

call() { $bin/wisteria-standin call --lookup $ip:7712 --block 10.1.7.0/24 --hosts 4 "$@"; }
call --service booking-desk --rank check --unique demo-1 --idempotent
call --service booking-desk --rank booking --unique demo-2
call --service inspection-log --rank upload --unique demo-3 --idempotent --deadline 30s --body "photo"
