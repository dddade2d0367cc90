#!/usr/bin/env bash
# Plays nodes that lose the way to all backend servers for seconds, with callers
# that stay on their connections; servers end one in six. Ends with 1 where these callers are served far
# worse than the others', or other promises break.
#
#     partitioned.sh BUILD_DIR SEED [CASE...]
#
# Without cases all are played, JOBS at a time. It ends only processes that it
# started.
set -Eeuo pipefail

# Each case is a manner and the nodes; node 2k - 1 and 2k are the k-th domain's.
declare -A sizes=(
	[one]=n1
	[two-domains]=n1,n5
	[domain]=n1,n2
	[all-but-one]=n1,n2,n3,n4,n5,n6,n7
)
manners="hang reset refuse"

# Besides, while the nodes are cut off: faults of the emulator.
declare -A faults=(
	[store-away]=silent@4:5
	[server-hangs]=hang@4:3
	[server-leaves]=leave@4:4
)
beside="hang-two-domains+store-away reset-domain+server-leaves
	refuse-all-but-one+store-away reset-one+server-hangs"

all=$beside
for manner in $manners; do
	for size in "${!sizes[@]}"; do all+=" $manner-$size"; done
done
. "$(dirname "$0")/cases.sh"
play_each "$all" "$@"

build=$(cd "$1" && pwd)
seed=$2
case=$3
size=${case#*-}
nodes=${sizes[${size%+*}]:-}
fault=()
if [[ $case == *+* ]]; then fault=(--fault "${faults[${case#*+}]:-none}"); fi
if [[ " $manners " != *" ${case%%-*} "* ]] || [ -z "$nodes" ]; then
	echo "partitioned.sh: unknown case $case" >&2
	exit 2
fi
per_domain=2
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
. "$(dirname "$0")/nodes.sh"

check() {
	check_no_suspects # as no server crashes
}

start_emulator --service svc-historia:many:7:80:2 \
	--service svc-certif:once:3:120:2 --rate 20 --seconds 16 --closes 6 \
	--partition "${case%%-*}:$nodes@3:8" --cuts "$work" "${fault[@]}"
start_cuttable_nodes
await_verdict ", $case"
