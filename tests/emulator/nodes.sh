# What plays share that only start, kill and pause nodes beside the emulator. They
# set build, seed, per_domain and domains; claims net, and makes work, the folder
# of settings and logs, which stays where the play fails.

here=$(dirname "${BASH_SOURCE[0]}")
. "$here/../tools/net.sh"
claim_net ${PLAY_NET:-}
. "$here/settings.sh"
play=$(basename "$0")
work=$(mktemp -d "${TMPDIR:-/tmp}/lilacfield-${play%.sh}.XXXXXX")
declare -A pids=()
number=0
emulator_pid=

end() {
	local status=$?
	kill -KILL "${pids[@]}" $emulator_pid 2>/dev/null || true
	wait 2>/dev/null || true
	if [ $status != 0 ]; then
		echo "$play: seed $seed failed; logs in $work" >&2
	else
		rm -rf "$work"
	fi
}
trap end EXIT

start_emulator() { # ARGUMENTS
	"$build/tests/emulator/emulator" --store "$net.0.1:7000" \
		--domains "$domains" --seed "$seed" "$@" \
		<"${commands_file:-/dev/null}" >"$work/report" 2>&1 &
	emulator_pid=$!
}

start_node() { # NODE_NUMBER
	"$build/packages/edge/lilacfield-edge" --settings "$work/n$1.toml" \
		>>"$work/n$1.log" 2>&1 &
	pids[$1]=$!
}

start_nodes() { # per_domain in each failure domain
	local place
	for place in ${domains//,/ }; do
		for _ in $(seq "$per_domain"); do
			number=$((number + 1))
			settings_of $number "${place%%:*}" "${place##*:}" \
				"$net.0.1:7000" >"$work/n$number.toml"
			start_node $number
		done
	done
}

# Nodes that connect from their own address and can be cut off; see cuts.c.
start_cuttable_nodes() {
	start_node() { # NODE_NUMBER
		LILACFIELD_SOURCE=$net.$1.1 LILACFIELD_CUT=$work/n$1.cut \
			"$build/tests/emulator/node_with_cuts" \
			--settings "$work/n$1.toml" >>"$work/n$1.log" 2>&1 &
		pids[$1]=$!
	}
	start_nodes
}

kill_nodes() { # NODE_NUMBER...
	local node
	{ # without the shell's word on each
		for node in "$@"; do kill -KILL "${pids[$node]}"; done
		for node in "$@"; do wait "${pids[$node]}" || true; done
	} 2>/dev/null
}

# Fails if a node suspects a request of a crash.
check_no_suspects() {
	local count
	count=$(cat "$work"/n*.log | grep -c event=crash-suspected) || true
	echo "requests suspected of crashes: $count" >>"$work/report"
	[ "$count" = 0 ]
}

# The emulator's verdict, or that of a function named check, and what of the play
# to print above its report.
await_verdict() { # TEXT
	local verdict=0
	wait $emulator_pid || verdict=$?
	emulator_pid=
	if declare -F check >/dev/null; then check || verdict=1; fi
	echo "== seed $seed, $number nodes$1"
	cat "$work/report"
	exit $verdict
}

# A pause, kills in turn, a third of all at once.
pause_and_kill() { # KILLS
	local paused=$((1 + RANDOM % number)) killed node
	kill -STOP "${pids[$paused]}"
	sleep 2
	kill -CONT "${pids[$paused]}"
	for _ in $(seq "$1"); do
		killed=$((1 + RANDOM % number))
		kill_nodes $killed
		sleep 0.5
		start_node $killed
		sleep 1
	done
	kill_nodes $(seq 1 3 "$number")
	sleep 0.5
	for node in $(seq 1 3 "$number"); do start_node "$node"; done
}
