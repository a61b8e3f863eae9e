#!/usr/bin/env bash
# Starts the stand-ins and four entry hosts in two data centres, publishes the
# example settings of both deployments, serves requests, runs one maintenance
# wave and prints the service-level burn report.
#
# The real deployments have four and three data centres and 8 to 12 workers for
# each service. Here both share two data centres, with 8 workers for each
# service.
set -euo pipefail
cd "$(dirname "$0")/.."
B=${1:-build}
TMP=$(mktemp -d)
PIDS=()
# Lower than the ports of the tests and the kernel's ephemeral ports.
PORT=$((4000 + $$ % 5000))
PLATFORM=127.0.0.1:$PORT
export GYPSUMVALVE_PLATFORM=$PLATFORM

stop_all() {
    [ ${#PIDS[@]} -eq 0 ] || kill "${PIDS[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$TMP"
}
trap stop_all EXIT

# Waits until the URL responds; fails after 100 attempts.
wait_http() { # URL
    for _ in $(seq 100); do
        curl -fso /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "demo: no response from $1 after 100 attempts; stopping" >&2
    tail -n 5 "$TMP"/*.log >&2
    return 1
}

print_heading() { printf '\n== %s\n' "$*"; }

print_heading "Starting the platform stand-in and 80 targets"
"$B/standin-platform" --listen "$PLATFORM" >"$TMP/platform.log" 2>&1 &
PIDS+=($!)
wait_http "http://$PLATFORM/hosts"
SERVICES="routing tendering dispatch compliance hq-admin parish-desk
diocese-desk votive-desk cathedral-desk dispatch-floor"
TARGETS=()
n=0
for i in 1 2 3 4 5 6 7 8; do
    for s in $SERVICES; do
        n=$((n + 1))
        dc=dc$(((i - 1) / 4 + 1))
        addr=127.0.0.1:$((PORT + 100 + n))
        # Four hosts of different services share a rack.
        rack=$dc-r$(((n - 1) / 4))
        TARGETS+=(--target "$s-$i=$addr")
        curl -fso /dev/null -X POST "http://$PLATFORM/hosts/set?host=$s-$i&\
dc=$dc&rack=$rack&addr=$addr&slots=8&pool=$s&state=live"
    done
done
"$B/standin-target" "${TARGETS[@]}" --reboot-ms 300 --run-ms 20 \
    >"$TMP/targets.log" 2>&1 &
PIDS+=($!)

print_heading "Starting two entry hosts in each of two data centres"
# Prints the settings file of entry host N.
entry_conf() { # N
    local dc=dc$((($1 - 1) / 2 + 1))
    printf 'name: entry%s\ndata_centre: %s\nregion: demo\n' "$1" "$dc"
    printf 'http: 127.0.0.1:%s\npeer: 127.0.0.1:%s\n' \
        $((PORT + $1)) $((PORT + 10 + $1))
    printf 'platform: %s\nworkers: 48\npeers:\n' "$PLATFORM"
    for p in 1 2 3 4; do
        [ "$p" = "$1" ] || printf '  - {name: entry%s, data_centre: dc%s, %s' \
            "$p" $(((p - 1) / 2 + 1)) \
            "region: demo, peer: '127.0.0.1:$((PORT + 10 + p))'}
"
    done
}
for e in 1 2 3 4; do
    entry_conf "$e" >"$TMP/entry$e.yaml"
    "$B/gventryd" --config "$TMP/entry$e.yaml" >"$TMP/entry$e.log" 2>&1 &
    PIDS+=($!)
done
for e in 1 2 3 4; do wait_http "http://127.0.0.1:$((PORT + e))/healthz"; done

print_heading "Checking and publishing the example settings"
"$B/gypsumvalve" check examples/kladeftis examples/derwent
"$B/gypsumvalve" publish examples/kladeftis examples/derwent
export GYPSUMVALVE_ENTRY=127.0.0.1:$((PORT + 1))
# Waits until the settings are in force and a request succeeds.
for _ in $(seq 100); do
    hosts=$(curl -fs "http://$PLATFORM/hosts" | wc -c)
    code=$(curl -so /dev/null -w '%{http_code}' \
        "http://$GYPSUMVALVE_ENTRY/svc/dispatch-floor/report" || true)
    [ "$hosts" -gt 0 ] && [ "$code" = 200 ] && break
    sleep 0.1
done

print_heading "A ticket, a non-idempotent request with it, and the same request again"
TICKET=$(curl -fs -X POST "http://$GYPSUMVALVE_ENTRY/v1/tickets")
echo "ticket: $TICKET"
for e in 1 3; do
    curl -s -i -X POST -H "Gv-Ticket: $TICKET" -H 'Gv-Team: crews' \
        --data 'stretch 17 of the A6' \
        "http://127.0.0.1:$((PORT + e))/svc/routing/plan" |
        grep -iE '^(HTTP|Gv-|ok)' | tr -d '\r'
done

print_heading "400 requests over all services and entry hosts, 20 at a time"
for i in $(seq 40); do for s in $SERVICES; do
    echo "$s $((PORT + 1 + i % 4))"
done; done | xargs -P 20 -n 2 sh -c 'curl -s -o /dev/null \
    -w "%{http_code}\n" "http://127.0.0.1:$2/svc/$1/report?run_ms=20"' _ |
    sort | uniq -c

print_heading "One maintenance wave over the routing pool, with requests meanwhile"
WAVE_BEGIN=$SECONDS
"$B/gypsumvalve" wave start demo-wave --pool routing --width 2
(for i in $(seq 60); do
    curl -s -o /dev/null -w '%{http_code}\n' \
        "http://127.0.0.1:$((PORT + 1 + i % 4))/svc/routing/quote?run_ms=50"
    sleep 0.1
done | sort | uniq -c | sed 's/^/requests during the wave: /') &
LOAD=$!
for _ in $(seq 400); do
    state=$("$B/gypsumvalve" wave status demo-wave || true)
    case $state in *done*) break ;; esac
    sleep 0.1
done
echo "the wave took about $((SECONDS - WAVE_BEGIN)) s"
wait "$LOAD"
echo "$state"

print_heading "Status and service-level burn"
"$B/gypsumvalve" status >"$TMP/status"
head -n 20 "$TMP/status"
"$B/gypsumvalve" burn
case $state in *done*) echo "demo: complete" ;;
*)
    echo "demo: the maintenance wave did not finish" >&2
    tail -n 5 "$TMP"/entry*.log >&2
    exit 1
    ;;
esac
