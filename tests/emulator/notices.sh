#!/usr/bin/env bash
# Plays nodes beside servers whose answers say that they leave, or that ask for
# rest by 503 with Retry-After, with callers that stay on their connections. Ends
# with 1 where a server gets requests from a node that it told so, where callers
# aren't served by the other servers or refused at once, or other promises break.
#
#     notices.sh BUILD_DIR SEED [CASE...]
#
# Without cases all are played, JOBS at a time. It ends only processes that it
# started.
set -Eeuo pipefail

# What the servers of the first service do: see notice_watch.h.
declare -A manners=(
	[leaves]=leaving:1:1
	[leaves-in-some-answers]=leaving:2:3
	[leaves-in-errors]=leaving:2:1:errors
	[half-leave]=leaving:half:1
	[all-leave]=leaving:all:1
	[rests]=rest:1:3
	[rests-shortly]=rest:3:0.7
	[rests-long]=rest:2:30
	[turns-some-away]=rest:2:2:3
	[half-rest]=rest:half:3
	[all-rest]=rest:all:2
)

# Besides: faults of the emulator, or of the nodes' way to the servers.
declare -A others=(
	[store-away]="--fault silent@4:9"
	[links-late]="--fault delay@3:10"
	[hops]="--partition refuse:n1,n5@3:7"
	[hops-reset]="--partition reset:n1,n2@3:7"
)
beside="leaves+store-away leaves-in-some-answers+links-late half-leave+hops
	leaves+hops-reset rests+hops half-rest+store-away rests+links-late
	all-rest+store-away"

. "$(dirname "$0")/cases.sh"
play_each "${!manners[*]} $beside" "$@"

build=$(cd "$1" && pwd)
seed=$2
case=$3
manner=${manners[${case%+*}]:-}
other=
if [[ $case == *+* ]]; then other=${others[${case#*+}]:-unknown}; fi
if [ -z "$manner" ] || [ "$other" = unknown ]; then
	echo "notices.sh: unknown case $case" >&2
	exit 2
fi
per_domain=2
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
. "$(dirname "$0")/nodes.sh"

check() {
	check_no_suspects # what servers say of themselves is no sign of a crash
}

start_emulator --service svc-historia:many:7:80:3 \
	--service svc-certif:once:3:120:2 --rate 30 --seconds 20 --closes 10 \
	--notices "$manner@4:9" --cuts "$work" $other
start_cuttable_nodes
await_verdict ", $case"
