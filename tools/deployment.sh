# Starts a small deployment of stand-ins and entry instances. Sourced by tools/up and tools/demo.
# Gives: STORE, ENTRIES (addresses), UPSTREAMS (addresses), and PIDS of all that was started.

BUILD=${BUILD:-build}
RUN=${RUN:-run}
PIDS=()
REGIONS=(luzon visayas mindanao)
UPSTREAM_COUNT=6
WORKSPACES=(acme bolt cebu)

# Ends everything that was started, entries first so that they can finish their requests.
stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    PIDS=()
}

wait_for() {
    local url=$1 attempt
    for attempt in $(seq 1 200); do
        curl -sf -o /dev/null --max-time 1 "$url" && return 0
        sleep 0.05
    done
    echo "no answer from $url" >&2
    return 1
}

# Until the instance that the look-up names for a workspace admits its requests.
wait_for_share() {
    local use attempt
    use=$(curl -s "http://${ENTRIES[0]}/v1/lookup?workspace=$1" | sed 's/.*"use":{"address":"\([^"]*\)".*/\1/')
    for attempt in $(seq 1 100); do
        curl -sf -o /dev/null --max-time 1 -H "Authorization: Bearer $(cat "$RUN/key-$1")" "http://$use/w/$1/quotes/ready" && return 0
        sleep 0.05
    done
    echo "no share of the rate of $1 at $use" >&2
    return 1
}

write_settings() {
    local index=$1 region=${REGIONS[$(($1 % 3))]}
    cat >"$RUN/entry-$index.ini" <<INI
[instance]
name = entry-$index
region = $region
domain = $region-$((index / 3 % 2 + 1))
http = ${ENTRIES[$index]}
peer = ${PEERS[$index]}

[store]
address = $STORE
INI
}

# Writes the platform's list of instances.
write_instances() {
    local index separator="" json="["
    for index in "${!ENTRIES[@]}"; do
        local region=${REGIONS[$((index % 3))]}
        json+="$separator{\"name\":\"entry-$index\",\"region\":\"$region\",\"domain\":\"$region-$((index / 3 % 2 + 1))\",\"http\":\"${ENTRIES[$index]}\",\"peer\":\"${PEERS[$index]}\",\"phase\":\"live\"}"
        separator=","
    done
    curl -sf -o /dev/null -X PUT -H 'Content-Type: application/json' -d "$json]" "http://$STORE/control/instances"
}

ctl() {
    "$BUILD/sapphirepass" ctl --entry "${ENTRIES[0]}" "$@"
}

declare_deployment() {
    local index region
    {
        for region in "${REGIONS[@]}"; do
            echo "declare region $region"
            echo "declare domain $region-1 region $region"
            echo "declare domain $region-2 region $region"
        done
        echo "declare link luzon-visayas from luzon to visayas megabits 4000"
        echo "declare link luzon-mindanao from luzon to mindanao megabits 4000"
        echo "declare link visayas-mindanao from visayas to mindanao megabits 4000"
        echo "declare block 127.0.0.0/8 region luzon"
        echo "declare route quotes path /quotes service configurator-core deadline 10s"
        echo "declare route status path /status service configurator-core access open"
        for index in "${!UPSTREAMS[@]}"; do
            region=${REGIONS[$((index % 3))]}
            echo "declare upstream core-$index service configurator-core domain $region-$((index / 3 % 2 + 1)) address ${UPSTREAMS[$index]} slots 4"
        done
        for index in "${WORKSPACES[@]}"; do
            echo "declare workspace $index rate 1200 burst 600"
        done
    } | ctl >"$RUN/declared.txt"
}

issue_keys() {
    local workspace
    for workspace in "${WORKSPACES[@]}"; do
        ctl "issue key $workspace-main workspace $workspace" | sed -n 's/^key //p' >"$RUN/key-$workspace"
    done
}

# start_deployment ENTRY_COUNT
start_deployment() {
    local count=$1 index ports
    mkdir -p "$RUN"
    mapfile -t ports < <("$BUILD/sapphirepass-standin" ports $((1 + UPSTREAM_COUNT + 2 * count)))
    STORE=127.0.0.1:${ports[0]}
    UPSTREAMS=() ENTRIES=() PEERS=()
    for ((index = 0; index < UPSTREAM_COUNT; index++)); do UPSTREAMS+=("127.0.0.1:${ports[$((1 + index))]}"); done
    for ((index = 0; index < count; index++)); do
        ENTRIES+=("127.0.0.1:${ports[$((1 + UPSTREAM_COUNT + index))]}")
        PEERS+=("127.0.0.1:${ports[$((1 + UPSTREAM_COUNT + count + index))]}")
    done
    for index in "${!ENTRIES[@]}"; do
        write_settings "$index"
        "$BUILD/sapphirepass" entry --config "$RUN/entry-$index.ini" 2>"$RUN/entry-$index.log" &
        PIDS+=($!)
    done
    "$BUILD/sapphirepass-standin" store --listen "$STORE" 2>"$RUN/store.log" &
    PIDS+=($!)
    for index in "${!UPSTREAMS[@]}"; do
        "$BUILD/sapphirepass-standin" upstream --listen "${UPSTREAMS[$index]}" --slots 4 2>"$RUN/upstream-$index.log" &
        PIDS+=($!)
    done
    wait_for "http://$STORE/control/calls"
    for index in "${UPSTREAMS[@]}"; do wait_for "http://$index/health"; done
    for index in "${ENTRIES[@]}"; do wait_for "http://$index/healthz"; done
    write_instances
    declare_deployment
    issue_keys
    for index in "${ENTRIES[@]}"; do wait_for "http://$index/v1/lookup?workspace=${WORKSPACES[0]}"; done
    # A new instance holds no share of a rate until its first request has asked for one.
    for index in "${WORKSPACES[@]}"; do wait_for_share "$index"; done
}

# Written under another name first, so that a reader never sees half of it.
write_addresses() {
    local index workspace
    {
        echo "[store]"
        echo "address = $STORE"
        echo
        echo "[entries]"
        for index in "${!ENTRIES[@]}"; do echo "entry-$index = ${ENTRIES[$index]}"; done
        echo
        echo "[upstreams]"
        for index in "${!UPSTREAMS[@]}"; do echo "core-$index = ${UPSTREAMS[$index]}"; done
        echo
        echo "[keys]"
        for workspace in "${WORKSPACES[@]}"; do echo "$workspace = $(cat "$RUN/key-$workspace")"; done
    } >"$RUN/addresses.ini.new"
    mv "$RUN/addresses.ini.new" "$RUN/addresses.ini"
}
