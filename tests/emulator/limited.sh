#!/usr/bin/env bash
# Plays real nodes beside servers that name a rate, all of one service or some,
# while nodes are killed, paused and restarted. Ends with 1 where more came to
# such a server than it takes, or other promises broke.
#
#     limited.sh BUILD_DIR SEED [NODES_PER_DOMAIN]
#
# It ends only processes that it started.
set -Eeuo pipefail
build=$(cd "$1" && pwd)
seed=$2
per_domain=${3:-2}
seconds=26
. "$(dirname "$0")/../tools/net.sh"
claim_net ${PLAY_NET:-}
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
work=$(mktemp -d "${TMPDIR:-/tmp}/lilacfield-limited.XXXXXX")
declare -A pids=()
emulator_pid=
RANDOM=$seed

end() {
	local status=$?
	kill -KILL "${pids[@]}" $emulator_pid 2>/dev/null || true
	wait 2>/dev/null || true
	if [ $status != 0 ]; then
		echo "limited.sh: seed $seed failed; logs in $work" >&2
	else
		rm -rf "$work"
	fi
}
trap end EXIT

. "$(dirname "$0")/settings.sh"

start_node() { # NODE_NUMBER
	"$build/packages/edge/lilacfield-edge" --settings "$work/n$1.toml" \
		>>"$work/n$1.log" 2>&1 &
	pids[$1]=$!
}

kill_node() { # NODE_NUMBER
	kill -KILL "${pids[$1]}"
	wait "${pids[$1]}" 2>/dev/null || true
}

limited=(4:2 12:1 6:5 12:4 2:0.5)
limit=${limited[RANDOM % ${#limited[@]}]}
"$build/tests/emulator/emulator" --store "$net.0.1:7000" --domains "$domains" \
	--service svc-historia:many:7:80:3 --service svc-certif:once:3:120:2 \
	--rate 80 --seconds "$seconds" --seed "$seed" --limited "$limit" \
	>"$work/report" 2>&1 &
emulator_pid=$!

number=0
for place in ${domains//,/ }; do
	for _ in $(seq "$per_domain"); do
		number=$((number + 1))
		settings_of $number "${place%%:*}" "${place##*:}" \
			"$net.0.1:7000" >"$work/n$number.toml"
		start_node $number
	done
done

# A pause, kills in turn, a third of all at once.
sleep 10
paused=$((1 + RANDOM % number))
kill -STOP "${pids[$paused]}"
sleep 2
kill -CONT "${pids[$paused]}"
for _ in 1 2 3; do
	killed=$((1 + RANDOM % number))
	kill_node $killed
	sleep 0.5
	start_node $killed
	sleep 1
done
for node in $(seq 1 3 "$number"); do kill_node "$node"; done
sleep 0.5
for node in $(seq 1 3 "$number"); do start_node "$node"; done

verdict=0
wait $emulator_pid || verdict=$?
emulator_pid=
echo "== seed $seed, $number nodes, limited $limit"
cat "$work/report"
exit $verdict
