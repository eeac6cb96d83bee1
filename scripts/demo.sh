#!/usr/bin/env bash
# Runs the whole path on loopback as separate processes: stand-ins, three
# daemons in two failure domains, an intent with its plan, requests, the loss of
# a member host, and a planned stop. Exits 0 only if all of it was seen.
set -euo pipefail
cd "$(dirname "$0")/.."

PROFILE="${DEMO_PROFILE:-debug}"
if [ "$PROFILE" = release ]; then
    cargo build --workspace --locked --release --quiet
else
    cargo build --workspace --locked --quiet
fi
BIN="$PWD/target/$PROFILE"
WORK="$(mktemp -d)"
PIDS=()
WAIT_SECONDS=120

finish() {
    local code=$?
    # Ends what this script started, by process id.
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    if [ "$code" -ne 0 ]; then
        echo "demo: FAILED; the last lines of the logs:"
        tail -n 15 "$WORK"/*.log "$WORK"/*.out 2>/dev/null || true
    fi
    rm -rf "$WORK"
    exit "$code"
}
trap finish EXIT

say() { echo "demo: $*"; }

# wait_for WHAT COMMAND...: until the command succeeds, within a generous bound.
wait_for() {
    local what=$1
    shift
    local end=$((SECONDS + WAIT_SECONDS))
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then
            say "waited too long for: $what"
            return 1
        fi
        sleep 0.1
    done
    say "seen: $what"
}

# start NAME COMMAND...: in the background, output in a file.
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.out" 2>&1 &
    PIDS+=($!)
    STARTED=$!
}

# address_of NAME: the address that a stand-in printed.
address_of() { sed -n 's/.* listens on //p' "$WORK/$1.out" | head -n 1; }

# free_ports COUNT: ports that are free now and differ from one another, as all are held at once.
free_ports() {
    python3 -c '
import socket, sys
held = [socket.socket() for _ in range(int(sys.argv[1]))]
for one in held:
    one.bind(("127.0.0.1", 0))
print(*(one.getsockname()[1] for one in held))' "$1"
}

start platform "$BIN/standin" platform
wait_for "the platform listens" grep -q "listens on" "$WORK/platform.out"
PLATFORM=$(address_of platform)

# Five hosts in each failure domain: a replica of four and a spare.
declare -A HOST_PID
for domain in talca-a talca-b; do
    for n in 1 2 3 4 5; do
        host="$domain-h$n"
        start "$host" "$BIN/standin" engine --host "$host" --failure-domain "$domain" \
            --fabric-domain "$domain-f1" --platform "$PLATFORM"
        HOST_PID[$host]=$STARTED
    done
done
for host in "${!HOST_PID[@]}"; do
    wait_for "host $host listens" grep -q "listens on" "$WORK/$host.out"
done
start service "$BIN/standin" service
wait_for "the plain service listens" grep -q "listens on" "$WORK/service.out"
SERVICE=$(address_of service)

printf 'operators-secret' >"$WORK/operator.token"
TOKEN_SHA=$(printf 'operators-secret' | sha256sum | cut -d' ' -f1)
KEY_SHA=$(printf 'lectura-key' | sha256sum | cut -d' ' -f1)

declare -A CALLERS OPERATORS PEERS DAEMON_PID
read -r -a PORTS <<<"$(free_ports 9)"
for n in 0 1 2; do
    name="entry-$((n + 1))"
    CALLERS[$name]="127.0.0.1:${PORTS[n * 3]}"
    OPERATORS[$name]="127.0.0.1:${PORTS[n * 3 + 1]}"
    PEERS[$name]="127.0.0.1:${PORTS[n * 3 + 2]}"
done
for name in entry-1 entry-2 entry-3; do
    domain=talca-a
    [ "$name" = entry-3 ] && domain=talca-b
    cat >"$WORK/$name.ini" <<INI
[daemon]
name = $name
failure_domain = $domain
seeds = ${PEERS[entry-1]}, ${PEERS[entry-2]}, ${PEERS[entry-3]}

[listen]
callers = ${CALLERS[$name]}
operators = ${OPERATORS[$name]}
peers = ${PEERS[$name]}

[platform]
address = $PLATFORM

[operators]
token_sha256 = $TOKEN_SHA

[log]
file = $WORK/$name.log
INI
    "$BIN/shalehinged" --check "$WORK/$name.ini"
    start "$name" "$BIN/shalehinged" "$WORK/$name.ini"
    DAEMON_PID[$name]=$STARTED
done

operate() {
    "$BIN/shalehinge" --daemon "${OPERATORS[entry-1]}" --token-file "$WORK/operator.token" "$@"
}
wait_for "a daemon answers operators" operate status

cat >"$WORK/configuration.json" <<JSON
{
  "customers": {"lecturistas": {"key_sha256": ["$KEY_SHA"], "share": 10}},
  "services": {
    "rutas-app": {
      "path_prefix": "/rutas",
      "upstreams": [{"host": "rutas-1", "address": "$SERVICE", "failure_domain": "talca-a"}],
      "not_repeatable": [{"method": "POST", "path_prefix": "/rutas/avisos"}]
    }
  },
  "weights": {"group_downtime": 1.0, "stranded_accelerators": 2.0}
}
JSON
operate configure "$WORK/configuration.json" --save "$WORK/plan.json"
operate confirm "$WORK/plan.json"

say "the intent and its plan:"
operate intent --model lector-llm --version v1 --replicas 2 --hosts-per-replica 4 \
    --owner lecturistas --save "$WORK/plan.json"
operate confirm "$WORK/plan.json"
operate shares --customer lecturistas --share 11 --save "$WORK/late.json" >/dev/null
operate shares --customer lecturistas --share 12 --save "$WORK/plan.json" >/dev/null
operate confirm "$WORK/plan.json" >/dev/null
code=0
operate confirm "$WORK/late.json" >/dev/null 2>&1 || code=$?
[ "$code" = 3 ]
say "seen: of two plans on one version the second is out of date"

all_ready() {
    for name in entry-1 entry-2 entry-3; do
        curl -sf "http://${CALLERS[$name]}/readyz" >/dev/null || return 1
    done
}
wait_for "all daemons are ready" all_ready
replicas_eligible() {
    [ "$(operate --json status | python3 -c '
import json, sys
print(sum(model["eligible_here"] for model in json.load(sys.stdin)["models"]))')" = "$1" ]
}
wait_for "both replicas are in routing" replicas_eligible 2

chat() {
    curl -sS --max-time 60 -H "Authorization: Bearer lectura-key" \
        -d "{\"model\": \"lector-llm\", \"max_tokens\": 16, \"stream\": $2, \"messages\": [{\"role\": \"user\", \"content\": \"dial 0412\"}]}" \
        "http://${CALLERS[$1]}/v1/chat/completions"
}
# On a busy machine a daemon may ask to come back: each is tried until it is answered.
whole() { chat "$1" false | grep -q '"completion_tokens":16'; }
streamed() {
    chat "$1" true >"$WORK/stream.txt"
    [ "$(grep -c '^data: {' "$WORK/stream.txt")" = 16 ] && grep -q '^data: \[DONE\]' "$WORK/stream.txt"
}
wait_for "a whole answer" whole entry-1
wait_for "a streamed answer, 16 tokens and the end mark" streamed entry-3
curl -sSf --max-time 60 -H "Authorization: Bearer lectura-key" -d 'medidor 77' \
    "http://${CALLERS[entry-2]}/rutas/lecturas?dia=2" | grep -q 'medidor 77'
say "seen: an answer of the plain service"
notice() {
    curl -sS --max-time 60 -o "$WORK/notice.txt" -w '%{http_code}' -H "Authorization: Bearer lectura-key" \
        -H "Idempotency-Key: aviso-9" -d 'aviso 9' "http://${CALLERS[$1]}/rutas/avisos"
}
notice_is() { [ "$(notice "$1")" = "$2" ]; }
wait_for "a notice" notice_is entry-1 200
wait_for "the same notice through another entry host is refused" notice_is entry-3 409
grep -q key_used "$WORK/notice.txt"
curl -sS "http://$SERVICE/admin/calls" | grep -q '"aviso-9":1'
say "seen: a notice sent again through another entry host ran once"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer nobody' -d '{}' \
    "http://${CALLERS[entry-1]}/v1/chat/completions")" = 401 ]
say "seen: an unknown key is refused"

group_of() {
    operate --json status | python3 -c '
import json, sys
for group in json.load(sys.stdin)["domains"][sys.argv[1]]["groups"]:
    print(group["number"], group["phase"], group["in_routing"], *group["hosts"])' "$1"
}
BEFORE=$(group_of talca-a)
VICTIM=$(echo "$BEFORE" | awk '{print $5}')
say "killing member host $VICTIM of the group: $BEFORE"
kill -KILL "${HOST_PID[$VICTIM]}"
wait_for "its replica leaves routing" replicas_eligible 1
reformed() {
    local now
    now=$(group_of talca-a)
    [ "$(echo "$now" | wc -l)" = 1 ] && [[ "$now" == *"serving True"* ]] && [[ "$now" != *"$VICTIM "* ]] && [ "$now" != "$BEFORE" ]
}
wait_for "the replica is formed again without $VICTIM" reformed
wait_for "a whole answer after the loss" whole entry-1

say "a planned stop of entry-2 during a stream:"
curl -sS --max-time 60 -H "Authorization: Bearer lectura-key" \
    -d '{"model": "lector-llm", "max_tokens": 100, "stream": true, "messages": [{"role": "user", "content": "long"}]}' \
    "http://${CALLERS[entry-2]}/v1/chat/completions" >"$WORK/long.txt" &
STREAM=$!
wait_for "the stream has begun" grep -q '^data: {' "$WORK/long.txt"
kill -TERM "${DAEMON_PID[entry-2]}"
wait "$STREAM"
[ "$(grep -c '^data: {' "$WORK/long.txt")" = 100 ]
grep -q '^data: \[DONE\]' "$WORK/long.txt"
say "seen: the stream ran to its end"
wait_for "entry-2 has ended" bash -c "! kill -0 ${DAEMON_PID[entry-2]}"

say "decisions in the logs:"
# Read to the end: a reader that stops early ends the writer before it with SIGPIPE.
grep -h -E ' (route|place|lease|claim): ' "$WORK"/entry-*.log | sort | cut -c1-180 | sed -n 1,40p
say "all was seen"
