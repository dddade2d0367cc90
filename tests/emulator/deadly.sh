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
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
. "$(dirname "$0")/nodes.sh"

start_emulator --service svc-historia:many:7:80:3 \
	--service svc-certif:once:3:120:2 --rate 60 --seconds 14 --deadly 5
start_nodes

sleep 8
kill_nodes "${!pids[@]}"
sleep 1
for node in "${!pids[@]}"; do start_node "$node"; done

await_verdict ""
