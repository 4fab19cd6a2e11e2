# Functions that start and stop a small system on loopback addresses, for scripts/quickstart and scripts/measure-control. The
# caller sets RUN_DIR; start_daemons sets ENTRIES and ADMINS. The system has 3 availability zones with 2 fabric domains of 10 VMs
# each, 7 entry daemons, one platform, and one service with a VM per zone.

BUILD="${BUILD_DIR:-build}"
PORT_BASE="${PORT_BASE:-17000}"
PIDS=()
ENTRIES=()
ADMINS=()

stop_cluster() {
    local pid
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    PIDS=()
}

start_process() {
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.log" &
    PIDS+=($!)
}

wait_for_port() {
    local address=$1 port=$2 tries=100
    while ! (exec 3<>"/dev/tcp/$address/$port") 2>/dev/null; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || { echo "no process listens on $address:$port" >&2; return 1; }
        sleep 0.1
    done
}

# The platform listens on one address per zone, so that a test can make it unreachable for one zone.
platform_address() { echo "127.0.$1.1:$((PORT_BASE + 1))"; }

start_standins() {
    local pool=$1 service=$2 zone
    start_process platform "$BUILD/standins/carawaypoint-standins" platform \
        --listen "$(platform_address 1)" --listen "$(platform_address 2)" --listen "$(platform_address 3)"
    wait_for_port 127.0.1.1 $((PORT_BASE + 1))
    for zone in 1 2 3; do
        start_process "engines-z$zone" "$BUILD/standins/carawaypoint-standins" engines --zone "z$zone" --pool "$pool" \
            --platform "$(platform_address "$zone")" --control "127.0.$zone.2:$((PORT_BASE + 2))" \
            --base "127.0.$zone.3:$((PORT_BASE + 100))" --domains 2 --vms-per-domain 10 --load-ms 1000 --parallel-loads 40
    done
    start_process service "$BUILD/standins/carawaypoint-standins" service --pool "$service" --platform "$(platform_address 1)" \
        --control "127.0.1.4:$((PORT_BASE + 3))" --listen "127.0.1.5:$((PORT_BASE + 4))" --listen "127.0.2.5:$((PORT_BASE + 4))" \
        --listen "127.0.3.5:$((PORT_BASE + 4))"
    wait_for_port 127.0.3.2 $((PORT_BASE + 2))
    wait_for_port 127.0.1.4 $((PORT_BASE + 3))
}

start_daemons() {
    local seeds="" number zone address
    for number in 1 2 3 4 5 6 7; do
        zone=$(((number - 1) % 3 + 1))
        seeds="$seeds${seeds:+,}127.0.$zone.$((10 + number)):$((PORT_BASE + 7))"
    done
    for number in 1 2 3 4 5 6 7; do
        zone=$(((number - 1) % 3 + 1))
        address="127.0.$zone.$((10 + number))"
        cat >"$RUN_DIR/daemon-$number.ini" <<INI
[process]
id = entry-$number
zone = z$zone
site = z$zone
traffic_threads = 1
[listen]
http = $address:$((PORT_BASE + 5))
admin = $address:$((PORT_BASE + 6))
peer = $address:$((PORT_BASE + 7))
[platform]
address = $(platform_address "$zone")
[peers]
seeds = $seeds
[log]
level = info
file = $RUN_DIR/daemon-$number.jsonl
INI
        start_process "daemon-$number" "$BUILD/carawaypoint" serve --settings "$RUN_DIR/daemon-$number.ini"
        ENTRIES+=("$address:$((PORT_BASE + 5))")
        ADMINS+=("$address:$((PORT_BASE + 6))")
    done
    for number in 1 2 3 4 5 6 7; do
        wait_for_port "${ADMINS[number - 1]%:*}" $((PORT_BASE + 6))
    done
}
