#!/usr/bin/env bash
# Measures what one daemon adds to streamed tokens, and its processor time and
# memory, idle and under load. Release build, loopback, stand-in engine.
# Usage: scripts/measure-gateway.sh [REQUESTS_PER_SECOND] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
RATE="${1:-21}"
LENGTH="${2:-30}"
TOKENS=386
STEP_MS=25
cargo build --workspace --locked --release --quiet
BIN="$PWD/target/release"
# The stand-ins and the load tool get several threads, so that they are not what
# is measured; the daemon runs as it would.
export SMOL_THREADS=4
WORK="$(mktemp -d)"
PIDS=()
finish() {
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$WORK"
}
trap finish EXIT
wait_for() { until "$@" >/dev/null 2>&1; do sleep 0.1; done; }
address_of() { sed -n 's/.* listens on //p' "$WORK/$1.out" | head -n 1; }

"$BIN/standin" platform >"$WORK/platform.out" & PIDS+=($!)
wait_for grep -q "listens on" "$WORK/platform.out"
PLATFORM=$(address_of platform)
"$BIN/standin" engine --host h --failure-domain d --fabric-domain f --platform "$PLATFORM" \
    --slots 512 --step-ms "$STEP_MS" --sequence-us 0 --load-ms 50 >"$WORK/engine.out" & PIDS+=($!)
wait_for grep -q "listens on" "$WORK/engine.out"
ENGINE=$(address_of engine)
printf t >"$WORK/operator.token"
cat >"$WORK/entry.ini" <<INI
[daemon]
name = entry
failure_domain = d
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
address = $PLATFORM
[operators]
token_sha256 = $(printf t | sha256sum | cut -d' ' -f1)
[log]
file = $WORK/entry.log
INI
env -u SMOL_THREADS "$BIN/shalehinged" "$WORK/entry.ini" & DAEMON=$!; PIDS+=("$DAEMON")
wait_for grep -q "listens to callers" "$WORK/entry.log"
read -r CALLERS OPERATORS < <(sed -n 's/.*listens to callers on \([^,]*\), to operators on \([^,]*\),.*/\1 \2/p' "$WORK/entry.log")
operate() { "$BIN/shalehinge" --daemon "$OPERATORS" --token-file "$WORK/operator.token" "$@"; }
wait_for operate status
echo "{\"customers\": {\"c\": {\"key_sha256\": [\"$(printf k | sha256sum | cut -d' ' -f1)\"], \"share\": 1}}}" >"$WORK/c.json"
operate configure "$WORK/c.json" --save "$WORK/p.json" >/dev/null
operate confirm "$WORK/p.json" >/dev/null
operate intent --model m --version v --replicas 1 --hosts-per-replica 1 --owner c --save "$WORK/p.json" >/dev/null
operate confirm "$WORK/p.json" >/dev/null
wait_for sh -c "'$BIN/shalehinge' --daemon $OPERATORS --token-file $WORK/operator.token status | grep -q '1 that this daemon'"

ticks() { awk '{print $14 + $15}' "/proc/$DAEMON/stat"; }
memory() { awk '/VmRSS/ {print $2 " kB resident"} /VmHWM/ {print $2 " kB at most"}' "/proc/$DAEMON/status" | paste -sd, ; }
HZ=$(getconf CLK_TCK)
usage() { awk -v a="$1" -v b="$2" -v hz="$HZ" -v s="$3" 'BEGIN {printf "%.2f%% of a core", 100 * (b - a) / hz / s}'; }

A=$(ticks); sleep 20; B=$(ticks)
echo "idle: $(usage "$A" "$B" 20), $(memory)"
echo "straight to the engine, $RATE requests/s of $TOKENS tokens:"
"$BIN/standin" load --to "$ENGINE" --model m --rate "$RATE" --seconds "$LENGTH" --warm-up 12 --max-tokens "$TOKENS"
echo "through the daemon:"
A=$(ticks); S=$SECONDS
"$BIN/standin" load --to "$CALLERS" --key k --model m --rate "$RATE" --seconds "$LENGTH" --warm-up 12 --max-tokens "$TOKENS"
B=$(ticks)
echo "daemon under load: $(usage "$A" "$B" $((SECONDS - S))), $(memory)"
