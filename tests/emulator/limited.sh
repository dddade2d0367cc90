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
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
. "$(dirname "$0")/nodes.sh"
RANDOM=$seed

limited=(4:2 12:1 6:5 12:4 2:0.5)
limit=${limited[RANDOM % ${#limited[@]}]}
start_emulator --service svc-historia:many:7:80:3 \
	--service svc-certif:once:3:120:2 --rate 80 --seconds 26 \
	--limited "$limit"
start_nodes

sleep 10
pause_and_kill 3

await_verdict ", limited $limit"
