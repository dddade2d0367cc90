#!/usr/bin/env bash
# Shows both users' deployments of today under traffic: where requests go, a
# shift, a drain, a backend server that leaves, an outage of the platform and a
# planned stop of an entry VM; ends with a table of what became of all requests.
#
#     demo.sh BUILD_DIR [USER…]
#
# Exit status 1 where a promise broke. Everything runs on this machine's
# loopback network and is stopped at the end.
set -Eeuo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../tools/net.sh"
claim_net ${DEMO_OCTET:-}
export DEMO_OCTET=${net#127.}
. "$here/users.sh"

build=$(cd "$1" && pwd)
shift
users=("$@")
[ ${#users[@]} -gt 0 ] || users=(calderas coop)
fieldd=$build/packages/node/lilacfieldd
ctl=$build/packages/ctl/lilacctl
poke=$build/tests/tools/poke
load=$build/tests/tools/load
traffic_s=${DEMO_TRAFFIC_S:-32}

work=$(mktemp -d "${TMPDIR:-/tmp}/lilacfield-demo.XXXXXX")
declare -A node_pids=()
standin_pids=()
load_pids=()
broken=0

stop_pid() { # PID: ask it to end, and make it after 15 s
	local i
	kill -TERM "$1" 2>/dev/null || return 0
	for ((i = 0; i < 150; i++)); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.1
	done
	kill -KILL "$1" 2>/dev/null || true
}

stop_all() {
	local pid
	for pid in "${load_pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in "${node_pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in "${node_pids[@]}" "${standin_pids[@]}"; do
		stop_pid "$pid"
	done
	wait 2>/dev/null || true
	node_pids=()
	standin_pids=()
	load_pids=()
}

finish() {
	local status=$?
	trap - EXIT
	stop_all
	if [ $status -eq 0 ]; then
		rm -rf "$work"
	else
		echo "histories and logs are kept in $work"
	fi
	exit $status
}
trap finish EXIT
trap 'echo "demo.sh: line $LINENO failed: $BASH_COMMAND" >&2' ERR
trap 'exit 130' INT TERM

say() { printf '\n== %s\n' "$*"; }

promise() { # MESSAGE CONDITION…: note a promise that broke
	local message=$1
	shift
	if "$@"; then
		echo "kept:   $message"
	else
		echo "BROKEN: $message"
		broken=1
	fi
}

node_address() { # NODE
	sed -n 's/^address = "\(.*\)"$/\1/p' "$dir/$1.toml" | head -1
}

control() { # one sentence of the operators' language
	"$ctl" "${ctl_nodes[@]}" "$@"
}

fleet() { "$poke" "$1" "http://$(fleet_address):$fleet_port/control" ${2+"$2"}; }

platform() {
	"$poke" "$1" "http://$(platform_address):$platform_port/control" ${2+"$2"}
}

start_node() { # NODE
	"$fieldd" --settings "$dir/$1.toml" &
	node_pids[$1]=$!
}

# Two runs on one network would share backend servers and request ids, which
# shows as requests that ran twice.
refuse_used_network() {
	if platform GET >/dev/null || fleet GET >/dev/null; then
		echo "demo.sh: $net.0.0/16 is in use, set DEMO_OCTET" >&2
		exit 1
	fi
}

# A stand-in that could not listen has ended by itself.
check_standins() {
	local pid
	for pid in "${standin_pids[@]}"; do
		kill -0 "$pid"
	done
}

start_user() {
	local node list=() vms=()
	refuse_used_network
	"$here/generate.sh" "$user" "$dir"
	"$build/tests/standins/fake_platform" --threads 128 \
		--address "$(platform_address)" --port $platform_port &
	standin_pids+=($!)
	"$build/tests/standins/fake_backend" --fleet "$dir/fleet.txt" \
		--control "$(fleet_address):$fleet_port" \
		--history "$dir/backends.history" &
	standin_pids+=($!)
	"$poke" --wait 10 GET "http://$(platform_address):$platform_port/control" \
		>/dev/null
	"$poke" --wait 10 GET "http://$(fleet_address):$fleet_port/control" \
		>/dev/null
	check_standins
	nodes=()
	for node in "$dir"/n-*.toml; do
		node=$(basename "$node" .toml)
		nodes+=("$node")
		list+=("$(node_address "$node"):$http_port")
		vms+=("{\"address\":\"$(node_address "$node")\",\"state\":\"live\"}")
	done
	platform POST "{\"vms\":[$(IFS=,; echo "${vms[*]}")]}" >/dev/null
	for node in "${nodes[@]}"; do
		start_node "$node"
	done
	lookups=$(IFS=,; echo "${list[*]}")
	ctl_nodes=(--node "${list[0]}" --node "${list[3]}")
	for node in "${list[@]}"; do
		"$poke" --wait 10 GET "http://$node/healthz" >/dev/null
	done
	control load "$dir/config.json"
	for node in "${list[@]}"; do
		"$poke" --wait 10 GET "http://$node/readyz" >/dev/null
	done
	echo "${#nodes[@]} nodes ready, $(grep -c . "$dir/fleet.txt") backend servers"
}

start_load() { # SERVICE PLACE RATE
	"$load" --nodes "$lookups" --service "$1" --from "$2" --rate "$3" \
		--seconds "$traffic_s" --id "$1-$2" --seed $((++load_seed)) \
		--timeout-ms 3000 --reissue --concurrency 32 \
		--history "$dir/callers.history" \
		>"$dir/load-$1-$2.out" &
	load_pids+=($!)
}

where() { # SERVICE PLACE: as its own place's node sees it
	"$ctl" --node "$(node_address "n-$2-1"):$http_port" \
		where "$1" from "$2" || true
}

now_ms() { # on the clock of the histories, to 10 ms
	awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}

is_traffic_on() {
	local pid
	for pid in "${load_pids[@]}"; do
		kill -0 "$pid" 2>/dev/null || return 1
	done
}

answers_by() { # NODE: of callers
	grep -c "\"event\":\"answer\".*\"node\":\"$1\"" \
		"$dir/callers.history" || true
}

# A planned stop under traffic: it must end by itself, whole.
stop_node() { # NODE
	local pid=${node_pids[$1]} start_ms status=0
	promise "$1 has answered callers" [ "$(answers_by "$1")" -gt 0 ]
	start_ms=$(now_ms)
	unset "node_pids[$1]"
	kill -TERM "$pid"
	wait "$pid" || status=$?
	echo "$1 ended after $(($(now_ms) - start_ms)) ms, status $status"
	promise "planned stop of $1 ends by itself and whole" [ $status -eq 0 ]
	promise "traffic went on meanwhile" is_traffic_on
}

sum_of() { # KEY SERVICE: over the callers' last lines
	cat "$dir"/load-"$2"-*.out | tr ' ' '\n' |
		awk -F= -v key="$1" '$1 == key { sum += $2 } END { print sum + 0 }'
}

worst_of() { # KEY SERVICE
	cat "$dir"/load-"$2"-*.out | tr ' ' '\n' |
		awk -F= -v key="$1" '$1 == key && $2 > most { most = $2 }
			END { print most + 0 }'
}

doubled_of() { # SERVICE: ids that ran more than once, by the run book
	fleet GET | grep -o "\"service\":\"$1\",\"ids\":[0-9]*,\"doubled\":[0-9]*" |
		sed 's/.*://'
}

# Members of a backend server's description.
fleet_number() { # BACKEND MEMBER
	fleet GET | grep -o "{\"name\":\"$1\"[^}]*}" |
		grep -o "\"$2\":[0-9]*" | sed 's/.*://'
}

is_non_idempotent() { # SERVICE
	printf '%s\n' "${services[@]}" | grep -q "^$1 non-idempotent "
}

table_row() { # SERVICE
	local doubled
	doubled=$(doubled_of "$1")
	printf '%-13s %7d %9d %8d %8d %6d %8d %5d %9d %9d\n' "$1" \
		"$(sum_of sent "$1")" "$(sum_of answered "$1")" \
		"$(sum_of refused_not_run "$1")" "$(sum_of unknown "$1")" \
		"$(sum_of wrong_answer "$1")" "$doubled" "$(sum_of cut "$1")" \
		"$(worst_of p50_us "$1")" "$(worst_of p99_us "$1")"
}

show_table() {
	local row service
	say "$user: what became of the requests"
	printf '%-13s %7s %9s %8s %8s %6s %8s %5s %9s %9s\n' service sent \
		answered not-run unknown wrong ran-twice cut p50-us p99-us
	for row in "${services[@]}"; do
		table_row "${row%% *}"
	done
	for row in "${services[@]}"; do
		service=${row%% *}
		promise "$service: every answer whole and its own" \
			[ "$(sum_of wrong_answer "$service")" -eq 0 ]
		promise "$service: nothing cut by the planned stop" \
			[ "$(sum_of cut "$service")" -eq 0 ]
		promise "$service: requests were answered" \
			[ "$(sum_of answered "$service")" -gt 0 ]
		if is_non_idempotent "$service"; then
			promise "$service: none ran twice" \
				[ "$(doubled_of "$service")" -eq 0 ]
			promise "$service: no outcome stayed unknown" \
				[ "$(sum_of unknown "$service")" -eq 0 ]
		fi
	done
}

wait_for_load() {
	local pid
	for pid in "${load_pids[@]}"; do
		wait "$pid" || broken=1
	done
	load_pids=()
}

# A backend server that says it leaves gets no new work after a few seconds.
show_leaving() { # BACKEND PLACE
	local before after
	say "$1 says that it is leaving"
	fleet POST "{\"backend\":\"$1\",\"leaving\":true}" >/dev/null
	sleep 3
	"$ctl" --node "$(node_address "n-$2-1"):$http_port" \
		show backends of "${1%-"$2"-*}" in "$2" || true
	before=$(fleet_number "$1" started)
	sleep 3
	after=$(fleet_number "$1" started)
	echo "started $before requests in all after 3 s, $after after 6 s"
	promise "no new work at a backend server that leaves" \
		[ "$before" -eq "$after" ]
	fleet POST "{\"backend\":\"$1\",\"leaving\":false}" >/dev/null
}

# The last time at which a backend server of the place started a request.
last_start_ms() { # PLACE
	fleet GET | grep -o "{\"name\":\"[a-z-]*-$1-[0-9]*\"[^}]*}" |
		sed 's/.*"last_start_us":\([0-9]*\).*/\1/' | sort -n | tail -1 |
		awk '{ printf "%d\n", $1 / 1000 }'
}

show_drain_time() { # PLACE COMMAND_MS: some seconds after the drain
	local drain_ms=$(($(last_start_ms "$1") - $2))
	echo "$1 started its last request $drain_ms ms after the command"
	promise "$1 had work until its drain" [ $drain_ms -ge -2000 ]
	promise "no new work at $1 from 3 s after its drain" \
		[ $drain_ms -le 3000 ]
}

show_outage() {
	say "the platform is down; a command says so, traffic goes on"
	platform POST '{"down":true}' >/dev/null
	control drain node "${nodes[1]}" || true
	sleep 2
	platform POST '{"down":false}' >/dev/null
}

# An accepted configuration is in force everywhere within seconds.
show_in_force() {
	local i all="at ${#nodes[@]} of ${#nodes[@]} nodes" start_ms
	start_ms=$(now_ms)
	for ((i = 0; i < 50; i++)); do
		control show version | tail -1 >"$dir/version"
		grep -q "$all" "$dir/version" && break
		sleep 0.2
	done
	cat "$dir/version"
	echo "after $(($(now_ms) - start_ms)) ms"
	promise "the configuration is in force at all nodes" \
		grep -q "$all" "$dir/version"
}

show_steps() { # SERVICE FROM TO DRAIN_PLACE STOP_NODE BACKEND
	local drain_ms
	sleep 3
	say "where $1 from $2 goes"
	where "$1" "$2"
	say "a shift of 30% from $2 to $3, at most 10 a second"
	control shift "$1" from "$2" to "$3" share 30% cap 10/s as demo-shift
	sleep 4
	where "$1" "$2"
	control show shifts
	say "drain of the place $4"
	drain_ms=$(now_ms)
	control drain place "$4"
	sleep 2
	where "$1" "$4"
	show_leaving "$6" "$3"
	show_drain_time "$4" "$drain_ms"
	show_outage
	say "planned stop of $5 under traffic"
	stop_node "$5"
	say "$5 is replaced"
	start_node "$5"
	control undrain place "$4"
	control cancel demo-shift
	show_in_force
}

show_calderas() {
	local place
	for place in central-1 central-2 sur-1 altiplano-1; do
		start_load svc-historia $place 30
		start_load svc-certif $place 5
	done
	start_load svc-archivo central-1 5
	start_load svc-archivo sur-2 5
	show_steps svc-historia central-1 central-2 sur-1 n-central-1-2 \
		svc-historia-central-2-1
}

show_coop() {
	local place
	for place in santiago-1 concepcion-2 antofagasta-1; do
		start_load inventario $place 20
		start_load flota $place 20
		start_load pedidos $place 8
	done
	show_steps inventario santiago-1 santiago-2 concepcion-2 n-santiago-1-2 \
		inventario-santiago-2-1
}

load_seed=0
for user in "${users[@]}"; do
	dir=$work/$user
	"describe_$user"
	say "$user: ${#places[@]} places, ${#services[@]} services"
	start_user
	"show_$user"
	wait_for_load
	show_table
	stop_all
done
if [ $broken -ne 0 ]; then
	say "a promise broke"
	exit 1
fi
say "all promises kept"
