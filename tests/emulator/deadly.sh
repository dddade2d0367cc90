#!/usr/bin/env bash
# Plays real nodes and one request that ends each server that runs it, brought
# five times a second to any node; all nodes are killed midway and start again.
# Ends with 1 where more servers end than may, or other promises break.
#
#     deadly.sh BUILD_DIR SEED [NODES_PER_DOMAIN]
#
# It ends only processes that it started.
set -Eeuo pipefail
build=$(cd "$1" && pwd)
seed=$2
per_domain=${3:-2}
seconds=14
. "$(dirname "$0")/../tools/net.sh"
claim_net ${PLAY_NET:-}
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
work=$(mktemp -d "${TMPDIR:-/tmp}/lilacfield-deadly.XXXXXX")
declare -A pids=()
emulator_pid=

end() {
	local status=$?
	kill -KILL "${pids[@]}" $emulator_pid 2>/dev/null || true
	wait 2>/dev/null || true
	if [ $status != 0 ]; then
		echo "deadly.sh: seed $seed failed; logs in $work" >&2
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

"$build/tests/emulator/emulator" --store "$net.0.1:7000" --domains "$domains" \
	--service svc-historia:many:7:80:3 --service svc-certif:once:3:120:2 \
	--rate 60 --seconds "$seconds" --seed "$seed" --deadly 5 \
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

sleep 8
kill -KILL "${pids[@]}"
for pid in "${pids[@]}"; do wait "$pid" || true; done 2>/dev/null
sleep 1
for node in "${!pids[@]}"; do start_node "$node"; done

verdict=0
wait $emulator_pid || verdict=$?
emulator_pid=
echo "== seed $seed, $number nodes"
cat "$work/report"
exit $verdict
