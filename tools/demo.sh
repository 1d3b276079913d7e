#!/usr/bin/env bash
# Starts the stand-ins and three entry VMs' programs on loopback, sends traffic through
# them, kills one entry process in the middle of a stream and prints a summary.
set -eu
BIN=$1
HERE=$(dirname "$0")
WORK=$(mktemp -d)
PIDS=()

stop_all() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$WORK"
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS+=($!)
  STARTED=$!
}

start log "$BIN/wisteriagw-standin-log" --listen 127.0.0.1:7801
start engine-a "$BIN/wisteriagw-standin-engine" --listen 127.0.0.1:7821
start engine-b "$BIN/wisteriagw-standin-engine" --listen 127.0.0.1:7822
start levy-a "$BIN/wisteriagw-standin-service" --listen 127.0.0.1:7831
start usage "$BIN/wisteriagw-standin-usage" --listen 127.0.0.1:7803
start vms "$BIN/wisteriagw-standin-vms" --listen 127.0.0.1:7802 --lag-seconds 0
# Each entry VM has its own loopback address; all use the same ports.
for n in 1 2 3; do
  start "entry-$n" "$BIN/wisteriagw-entry" --vm "vm-$n" --data-centre "dc$n" \
    --listen "127.0.0.$n:7841" --operator-listen "127.0.0.$n:7851" \
    --mesh-listen "127.0.0.$n:7861" --vm-list 127.0.0.1:7802 --log 127.0.0.1:7801 \
    --usage-window-seconds 5
  [ "$n" = 1 ] && FIRST_ENTRY=$STARTED
  start "control-$n" "$BIN/wisteriagw-control" --vm "vm-$n" --data-centre "dc$n" \
    --listen "127.0.0.$n:7871" --vm-list 127.0.0.1:7802 --log 127.0.0.1:7801
  start "usage-$n" "$BIN/wisteriagw-usage" --vm "vm-$n" \
    --listen "127.0.0.$n:7881" --vm-list 127.0.0.1:7802 --log 127.0.0.1:7801 \
    --usage-interface 127.0.0.1:7803 --usage-window-seconds 5 --usage-grace-seconds 1
done

for _ in $(seq 50); do
  "$BIN/python" "$HERE/demo_vms.py" 127.0.0.1:7802 3 && break
  sleep 0.2
done
export WISTERIAGW_OPERATOR_ADDRESS=127.0.0.1:7851
for _ in $(seq 50); do
  "$BIN/wisteriagw-admin" --operator demo create-customer market-office \
    >"$WORK/admin.log" 2>&1 && break
  sleep 0.2
done
"$BIN/wisteriagw-admin" --operator demo publish "$HERE/demo_sheet.csv"
KEY=$("$BIN/wisteriagw-admin" --json --operator demo give-key market-office |
  sed 's/.*"key": "\([^"]*\)".*/\1/')
sleep 3

# The client prints "streaming" once tokens have arrived; then its entry VM is killed.
mkfifo "$WORK/steps"
"$BIN/python" "$HERE/demo_client.py" 127.0.0.1:7841 "$KEY" >"$WORK/steps" &
CLIENT=$!
while read -r line; do
  echo "$line"
  if [ "$line" = "streaming" ]; then
    kill -KILL "$FIRST_ENTRY"
    echo "killed the entry process that carried the stream"
  fi
done <"$WORK/steps"
wait "$CLIENT"
echo "waiting for the bill"
"$BIN/python" "$HERE/demo_bill.py" 7803
