#!/usr/bin/env bash
# Plays a deployment with real nodes against the emulator, with faults of nodes
# and of the world, and ends with 1 where a promise broke or a node ended by
# itself.
#
#     play.sh BUILD_DIR calderas|coop SEED [SECONDS]
#
# Everything runs on this machine's loopback network; it ends only processes
# that it started.
set -Eeuo pipefail
build=$(cd "$1" && pwd)
user=$2
seed=$3
seconds=${4:-16}
net=127.$((40 + ($$ + seed) % 180))
work=$(mktemp -d "${TMPDIR:-/tmp}/lilacfield-play.XXXXXX")
declare -A pids=()
emulator_pid=
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
fault=${faults[RANDOM % ${#faults[@]}]}@$((4 + RANDOM % 3)):$((2 + RANDOM % 3))

# What the nodes and the emulator said is kept where a run fails, however.
end() {
	local status=$? pid
	for pid in "${pids[@]}" $emulator_pid; do
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

settings_of() { # NODE_NUMBER DOMAIN REGION
	cat <<END
[node]
name = "n$1"
domain = "$2"
region = "$3"
[listen]
front = "$net.$1.1:8080"
ready = "$net.$1.1:8081"
lookup = "$net.$1.1:8082"
operators = "$net.$1.1:8083"
peer = "$net.$1.1:8084"
[registry]
address = "$net.0.1:7000"
[extra]
ratio = "0.2"
allowance = "40"
[log]
level = "info"
[domains]
$(tr , '\n' <<<"$domains" | sed 's/\(.*\):\(.*\)/"\1" = "\2"/')
END
}

start_node() { # NODE_NUMBER
	"$build/packages/edge/lilacfield-edge" --settings "$work/n$1.toml" \
		>>"$work/n$1.log" 2>&1 &
	pids[$1]=$!
}

options=()
for service in "${services[@]}"; do options+=(--service "$service"); done
# The emulator ends without tidying up: what it holds then is no finding.
ASAN_OPTIONS=detect_leaks=0 \
	"$build/tests/emulator/emulator" --store "$net.0.1:7000" --domains "$domains" \
	"${options[@]}" --rate 60 --seconds "$seconds" --fault "$fault" \
	--seed "$seed" >"$work/report" 2>&1 &
emulator_pid=$!

number=0
for place in ${domains//,/ }; do
	for _ in 1 2; do
		number=$((number + 1))
		settings_of $number "${place%%:*}" "${place##*:}" \
			>"$work/n$number.toml"
		start_node $number
	done
done

# A planned stop, a kill and a pause, each of a node of its own.
sleep 5
kill -TERM "${pids[1]}"
sleep 1
kill -KILL "${pids[3]}"
wait "${pids[3]}" 2>/dev/null || true
sleep 1
start_node 3
kill -STOP "${pids[4]}"
sleep 2
kill -CONT "${pids[4]}"
planned=0
wait "${pids[1]}" || planned=$?
unset "pids[1]"

# Operators ask while all this goes on.
asked=0
for sentence in "show nodes" "show services" "show refusals" "show version" \
	"where ${services[0]%%:*} from ${domains%%:*}"; do
	"$build/packages/ctl/lilacctl" --node "$net.2.1:8083" "$sentence" \
		>>"$work/answers" 2>&1 || asked=$?
done

verdict=0
wait $emulator_pid || verdict=$?
emulator_pid=
alive=0
for pid in "${pids[@]}"; do
	kill -0 "$pid" 2>/dev/null && alive=$((alive + 1))
done
echo "== $user, seed $seed, fault $fault: planned stop ended with $planned," \
	"$alive of ${#pids[@]} other nodes live"
cat "$work/report" "$work/answers"
[ $asked = 0 ] && [ $verdict = 0 ] && [ $planned = 0 ] && [ $alive = ${#pids[@]} ]
