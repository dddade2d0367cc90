#!/usr/bin/env bash
# Plays a deployment with real nodes against the emulator, with faults of nodes
# and of the world, and ends with 1 where a promise broke or a node ended by
# itself.
#
#     play.sh BUILD_DIR calderas|coop SEED [SECONDS [NODES_PER_DOMAIN]]
#
# Meanwhile the operator's document grows to thousands of routes, in series of
# versions that overlap with the faults, and some nodes have narrow or far links
# to the store. Callers of a route that was added saw final 404s from such nodes
# for good: the document took longer than one call might, was asked for again
# from its first byte, and never arrived.
#
# Everything runs on this machine's loopback network; it ends only processes
# that it started.
set -Eeuo pipefail
build=$(cd "$1" && pwd)
user=$2
seed=$3
seconds=${4:-26}
per_domain=${5:-2}
. "$(dirname "$0")/../tools/net.sh"
claim_net ${PLAY_NET:-}
work=$(mktemp -d "${TMPDIR:-/tmp}/lilacfield-play.XXXXXX")
declare -A pids=() stopping=()
emulator_pid=
operator_pid=
RANDOM=$seed

case $user in
calderas)
	domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
	services=(svc-historia:many:7:80:2 svc-certif:once:3:120:2
		svc-archivo:many:8:200:2)
	;;
coop)
	domains=santiago-1:santiago,santiago-2:santiago,concepcion-1:concepcion
	services=(inventario:many:3:40:3 pedidos:once:3:60:3 flota:many:3:90:3)
	;;
*)
	echo "play.sh: unknown user $user" >&2
	exit 2
	;;
esac
faults=(silent refuse slow leave hang twice cut
	delay part partthere partback reset stale)
fault=${faults[RANDOM % ${#faults[@]}]}@$((4 + RANDOM % 10)):$((2 + RANDOM % 3))

# Nodes have as long before the end to recover, and to read the document.
settle_s=8

# The operator's versions: pauses before them in tenths of a second, and the
# routes that each adds. Series begin seconds apart, their versions tenths.
pauses=()
grows=()
routes=0
planned_ds=0
while [ $planned_ds -lt $(((seconds - settle_s) * 10)) ]; do
	pause=$((20 + RANDOM % 30))
	series=$((1 + RANDOM % 3))
	for _ in $(seq $series); do
		pauses+=($pause)
		grows+=($((300 + RANDOM % 500)))
		routes=$((routes + ${grows[-1]}))
		planned_ds=$((planned_ds + pause))
		pause=$((1 + RANDOM % 8))
	done
done

# A route takes 230 bytes, a third more in the store's answer. The largest
# document takes this long over a narrow link: longer than a call's time-out,
# 1 s, and less than the time in which it must be in force, 2.5 s.
transfer_ms=1900
narrow=$((routes * 230 * 4 / 3 * 1000 / transfer_ms))

# What the nodes and the emulator said is kept where a run fails, however.
end() {
	local status=$? pid
	for pid in "${pids[@]}" "${stopping[@]}" $emulator_pid \
		$operator_pid; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	if [ $status != 0 ]; then
		local kept=${KEEP_LOGS:-${TMPDIR:-/tmp}/lilacfield-play-failed}
		mkdir -p "$kept"
		cp -r "$work" "$kept/$user-$seed-$$"
		echo "play.sh: $user, seed $seed failed; logs in $kept" >&2
	fi
	rm -rf "$work"
}
trap end EXIT
trap 'exit 1' PIPE # the emulator has ended

. "$(dirname "$0")/settings.sh"

tell() { # a command for the emulator
	echo "$*" >&"$commands"
}

start_node() { # NODE_NUMBER
	"$build/packages/edge/lilacfield-edge" --settings "$work/n$1.toml" \
		>>"$work/n$1.log" 2>&1 {commands}>&- &
	pids[$1]=$!
	tell up "n$1" "$net.$1.1:8080"
}

# A node with a wide, a narrow or a far link to the store.
add_node() { # DOMAIN REGION
	local store=$net.0.1:7000
	number=$((number + 1))
	case $((RANDOM % 4)) in
	0 | 1) store=$net.$number.2:7000 && tell link "n$number" "$store" $narrow ;;
	2) store=$net.$number.2:7000 && tell link "n$number" "$store" 0 ;;
	esac
	settings_of $number "$1" "$2" "$store" >"$work/n$number.toml"
	start_node $number
}

kill_node() { # NODE_NUMBER
	tell down "n$1"
	kill -KILL "${pids[$1]}"
	wait "${pids[$1]}" 2>/dev/null || true
}

stop_node() { # NODE_NUMBER: a planned stop, in the background
	tell down "n$1"
	kill -TERM "${pids[$1]}"
	stopping[$1]=${pids[$1]}
	unset "pids[$1]"
}

await_stop() { # NODE_NUMBER
	wait "${stopping[$1]}" || planned=$?
	unset "stopping[$1]"
}

pause_node() { # NODE_NUMBER
	tell down "n$1"
	kill -STOP "${pids[$1]}"
}

resume_node() { # NODE_NUMBER
	kill -CONT "${pids[$1]}"
	tell up "n$1" "$net.$1.1:8080"
}

nap() { # LEAST MOST: tenths of a second
	local ds=$(($1 + RANDOM % ($2 - $1 + 1)))
	sleep $((ds / 10)).$((ds % 10))
}


# A node is suspended; while it is, another one is killed or stopped and starts
# again, at times twice.
trouble() {
	# n1 to n3 have faults of their own.
	local paused=$((4 + RANDOM % (number - 3)))
	local restarted=$((4 + RANDOM % (number - 3)))
	local times=$((1 + RANDOM % 2))
	if [ "$paused" != "$restarted" ]; then pause_node "$paused"; fi
	nap 1 5
	for _ in $(seq $times); do
		if [ $((RANDOM % 2)) = 0 ]; then
			kill_node "$restarted"
		else
			stop_node "$restarted"
			await_stop "$restarted"
		fi
		nap 0 5
		start_node "$restarted"
		nap 2 15
	done
	if [ "$paused" != "$restarted" ]; then resume_node "$paused"; fi
}

operate() {
	local i
	for i in "${!grows[@]}"; do
		sleep $((pauses[i] / 10)).$((pauses[i] % 10))
		tell grow "${grows[i]}"
	done
}

options=()
for service in "${services[@]}"; do options+=(--service "$service"); done
mkfifo "$work/commands"
# The emulator ends without tidying up: what it holds then is no finding.
ASAN_OPTIONS=detect_leaks=0 \
	"$build/tests/emulator/emulator" --store "$net.0.1:7000" --domains "$domains" \
	"${options[@]}" --rate 60 --seconds "$seconds" --fault "$fault" \
	--seed "$seed" --commands <"$work/commands" >"$work/report" 2>&1 &
emulator_pid=$!
exec {commands}>"$work/commands"

planned=0
number=0
for place in ${domains//,/ }; do
	for _ in $(seq "$per_domain"); do
		add_node "${place%%:*}" "${place##*:}"
	done
done
SECONDS=0
operate &
operator_pid=$!

# A planned stop, a kill and a pause, each of a node of its own; then more of
# them, and of each other's, while the document grows.
sleep 5
stop_node 1
sleep 1
kill_node 3
sleep 1
start_node 3
pause_node 4
sleep 2
resume_node 4
await_stop 1
while [ $SECONDS -lt $((seconds - settle_s - 4)) ]; do
	trouble
	nap 2 15
done
start_node 1
add_node "${place%%:*}" "${place##*:}"
# Stops may have taken long.
tell last $((settle_s + 1))
recovered_at=$((SECONDS + settle_s))

# Operators ask while all this goes on.
asked=0
for sentence in "show nodes" "show services" "show refusals" "show version" \
	"where ${services[0]%%:*} from ${domains%%:*}"; do
	"$build/packages/ctl/lilacctl" --node "$net.2.1:8083" "$sentence" \
		>>"$work/answers" 2>&1 || asked=$?
done

# By now a node that started beside the large document is ready.
ends_at=$((seconds > recovered_at ? seconds : recovered_at))
sleep $((ends_at > SECONDS ? ends_at - SECONDS : 0))
unready=
for node in "${!pids[@]}"; do
	"$build/tests/tools/poke" GET "http://$net.$node.1:8081/api/ready" \
		>/dev/null 2>&1 || unready+=" n$node"
done

wait $operator_pid || true
operator_pid=
verdict=0
wait $emulator_pid || verdict=$?
emulator_pid=
alive=0
for pid in "${pids[@]}"; do
	kill -0 "$pid" 2>/dev/null && alive=$((alive + 1))
done
echo "== $user, seed $seed, fault $fault: planned stops ended with $planned," \
	"$alive of ${#pids[@]} nodes live, not ready:${unready:- none}," \
	"$routes routes in ${#grows[@]} versions"
cat "$work/report" "$work/answers"
[ $asked = 0 ] && [ $verdict = 0 ] && [ $planned = 0 ] && [ -z "$unready" ] &&
	[ $alive = ${#pids[@]} ]
