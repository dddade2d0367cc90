#!/usr/bin/env bash
# Plays nodes beside a store that comes back from a copy of its rows, with callers
# that stay on their connections. Ends with 1 where a node goes by an older
# configuration or sends to a leaving server too long after the store's word,
# where callers aren't served, or other promises break.
#
#     restores.sh BUILD_DIR SEED [CASE...]
#
# Without cases all are played, JOBS at a time. It ends only processes that it
# started.
set -Eeuo pipefail

# How the store comes back: see restore_watch.h.
declare -A manners=(
	[usual]=age=3000
	[copy-old]=age=8000
	[copy-recent]=age=1700,again=0
	[passes-at-once]=passes=100
	[changes-then-passes]=changes=0,passes=100
	[changes-then-passes-some-first]=changes=0,passes=100,late=2500
	[twice-changes-then-passes]=times=2,changes=0,passes=100
	[reaches-its-height]=passes=60
	[far-below]=lost=5000
	[nothing-lost]=lost=0
	[away-shortly]=away=100
	[away-long]=away=9000
	[written-at-once]=again=0
	[written-late]=again=4500
	[never-written]=again=never
	[twice]=times=2
	[twice-and-passes]=times=2,passes=100
	[some-first]=late=2500
	[some-first-and-passes]=late=2500,passes=100
	[twice-some-first]=times=2,late=1000
)

# Besides: nodes that lose the servers, or that end and start while it is away.
declare -A others=(
	[hops]="--partition refuse:n1,n5@3:9"
	[restarts]="--commands"
)
beside="usual+hops some-first+hops usual+restarts never-written+restarts
	twice+restarts passes-at-once+restarts"

. "$(dirname "$0")/cases.sh"
play_each "${!manners[*]} $beside" "$@"

build=$(cd "$1" && pwd)
seed=$2
case=$3
manner=${manners[${case%%+*}]:-}
other=
if [[ $case == *+* ]]; then other=${others[${case#*+}]:-unknown}; fi
if [ -z "$manner" ] || [ "$other" = unknown ]; then
	echo "restores.sh: unknown case $case" >&2
	exit 2
fi
per_domain=2
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
. "$(dirname "$0")/nodes.sh"

check() {
	check_no_suspects # a store that comes back is no sign of a crash
}

# Nodes 3 and 6 end as the store goes away, and start before it is back.
restart_nodes() {
	local node
	commands_file=$work/commands
	mkfifo "$commands_file"
	exec {commands}<>"$commands_file"
	start_emulator "$@"
	start_cuttable_nodes
	until grep -q "fault silent begins" "$work/report"; do sleep 0.1; done
	for node in 3 6; do echo "down n$node" >&$commands; done
	kill_nodes 3 6
	sleep 1
	for node in 3 6; do
		start_node $node
		echo "up n$node $net.$node.1:8080" >&$commands
	done
}

plan=(--service svc-historia:many:7:80:3 --service svc-certif:once:3:120:2
	--rate 30 --seconds 28 --closes 10 --restore "$manner" --cuts "$work")
if [ "$other" = --commands ]; then
	restart_nodes "${plan[@]}" $other
else
	start_emulator "${plan[@]}" $other
	start_cuttable_nodes
fi
await_verdict ", $case"
