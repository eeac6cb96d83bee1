#!/usr/bin/env bash
# Measures what an idle fleet costs: processor time and memory of a daemon, bytes
# on the loopback, calls to the platform. One failure domain, release build.
# Usage: scripts/measure-slopes.sh DAEMONS HOSTS [SECONDS]
# EXTRA, if set, is added to the settings files. DOMAINS, if set, is the number of
# failure domains that the daemons are in, in turn (without hosts). With
# KILL_HOLDER set, the holder of the first is killed at the end, and the calls to
# the platform in the 12 s that follow are counted.
# Each host is a replica of its own, so that the engines say nothing to each other.
set -euo pipefail
cd "$(dirname "$0")/.."
DAEMONS="$1"
HOSTS="$2"
LENGTH="${3:-20}"
BIN="$PWD/target/release"
[ -x "$BIN/shalehinged" ] || cargo build --workspace --locked --release --quiet
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
wait_for() { until "$@" >/dev/null 2>&1; do sleep 0.2; done; }
address_of() { sed -n 's/.* listens on //p' "$WORK/$1.out" | head -n 1; }

"$BIN/standin" platform >"$WORK/platform.out" & PIDS+=($!)
wait_for grep -q "listens on" "$WORK/platform.out"
PLATFORM=$(address_of platform)
if [ "$HOSTS" -gt 0 ]; then
    "$BIN/standin" engine --host h --count "$HOSTS" --failure-domain d --fabric-domain f \
        --platform "$PLATFORM" --load-ms 50 >"$WORK/engine.out" & PIDS+=($!)
    wait_for sh -c "[ \$(grep -c 'listens on' '$WORK/engine.out') = $HOSTS ]"
fi
printf t >"$WORK/operator.token"
SEEDS=""
ENTRIES=()
for n in $(seq "$DAEMONS"); do
    cat >"$WORK/e$n.ini" <<INI
[daemon]
name = e$n
failure_domain = d$( [ "${DOMAINS:-1}" = 1 ] || echo $((n % DOMAINS)) )
seeds = $SEEDS
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
address = $PLATFORM
[operators]
token_sha256 = $(printf t | sha256sum | cut -d' ' -f1)
[log]
file = $WORK/e$n.log
${EXTRA:-}
INI
    "$BIN/shalehinged" "$WORK/e$n.ini" & PIDS+=($!); ENTRIES+=($!)
    if [ "$n" -le 3 ]; then
        wait_for grep -q "listens to callers" "$WORK/e$n.log"
        PEER=$(sed -n 's/.*to peers on \(.*\)/\1/p' "$WORK/e$n.log")
        SEEDS="${SEEDS:+$SEEDS, }$PEER"
    fi
done
OPERATORS=$(sed -n 's/.*to operators on \([^,]*\),.*/\1/p' "$WORK/e1.log")
operate() { "$BIN/shalehinge" --daemon "$OPERATORS" --token-file "$WORK/operator.token" "$@"; }
wait_for operate status
echo '{"customers": {"c": {"key_sha256": [], "share": 1}}}' >"$WORK/c.json"
operate configure "$WORK/c.json" --save "$WORK/p.json" >/dev/null
operate confirm "$WORK/p.json" >/dev/null
if [ "$HOSTS" -gt 0 ]; then
    operate intent --model m --version v --replicas "$HOSTS" --hosts-per-replica 1 --owner c \
        --save "$WORK/p.json" >/dev/null
    operate confirm "$WORK/p.json" >/dev/null
    wait_for sh -c "'$BIN/shalehinge' --daemon $OPERATORS --token-file $WORK/operator.token status | grep -q '$HOSTS serving'"
fi
sleep 5
HZ=$(getconf CLK_TCK)
ticks() { for pid in "${ENTRIES[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done; }
bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
counts() { curl -s "http://$PLATFORM/admin/counts"; }
ticks >"$WORK/a"; BYTES_A=$(bytes); counts >"$WORK/counts-a"
sleep "$LENGTH"
ticks >"$WORK/b"; BYTES_B=$(bytes); counts >"$WORK/counts-b"
paste "$WORK/a" "$WORK/b" | awk -v hz="$HZ" -v s="$LENGTH" -v d="$DAEMONS" -v h="$HOSTS" '
    {p = 100 * ($2 - $1) / hz / s; sum += p; if (p > most) most = p}
    END {printf "%d daemons, %d replicas: %.2f%% of a core a daemon, %.2f%% at most; ", d, h, sum / NR, most}'
for pid in "${ENTRIES[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | sort -n |
    awk '{v[NR] = $1} END {printf "memory %.1f MB median, %.1f MB at most; ", v[int((NR + 1) / 2)] / 1024, v[NR] / 1024}'
awk -v a="$BYTES_A" -v b="$BYTES_B" -v s="$LENGTH" -v d="$DAEMONS" \
    'BEGIN {printf "%.0f bytes/s a daemon, all traffic with TCP/IP; ", (b - a) / s / d}'
python3 - "$WORK" "$LENGTH" <<'PY'
import json, sys
a, b = (json.load(open(f"{sys.argv[1]}/counts-{n}")) for n in "ab")
print("platform calls/s:", ", ".join(
    f"{kind} {(b[kind] - a[kind]) / float(sys.argv[2]):.2f}" for kind in ("reads", "writes", "watches")))
PY
if [ -n "${KILL_HOLDER:-}" ]; then
    counts >"$WORK/counts-a"
    for n in $(seq "$DAEMONS"); do
        if grep -q "lease: holds d0 in epoch" "$WORK/e$n.log"; then
            kill -KILL "${ENTRIES[$((n - 1))]}"
        fi
    done
    sleep 12
    counts >"$WORK/counts-b"
    grep -h "lease: holds d0 in epoch" "$WORK"/e*.log
    python3 - "$WORK" 12 <<'PY'
import json, sys
a, b = (json.load(open(f"{sys.argv[1]}/counts-{n}")) for n in "ab")
print("after the kill, platform calls/s:", ", ".join(
    f"{kind} {(b[kind] - a[kind]) / float(sys.argv[2]):.2f}" for kind in ("reads", "writes", "watches")))
PY
fi
