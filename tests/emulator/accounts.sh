#!/usr/bin/env bash
# Plays real nodes beside callers of accounts, one of them hot, while nodes are
# killed, paused and restarted and a key is taken away. Ends with 1 where more of
# an account ran than may, a key got out, or other promises broke.
#
#     accounts.sh BUILD_DIR SEED [NODES_PER_DOMAIN]
#
# It ends only processes that it started.
set -Eeuo pipefail
build=$(cd "$1" && pwd)
seed=$2
per_domain=${3:-2}
domains=central-1:central,central-2:central,sur-1:sur,altiplano-1:altiplano
account_settings='[accounts]
window = "5s"
overage = "0.1"
slack = "20"'
. "$(dirname "$0")/nodes.sh"
RANDOM=$seed

start_emulator --service svc-historia:many:7:40:3 \
	--service svc-certif:once:7:40:3 --rate 80 --seconds 26 \
	--accounts 6:20
start_nodes

sleep 14
pause_and_kill 2

# No key is in what the nodes wrote, nor in what operators read.
check() {
	if grep -l "key-" "$work"/n*.log "$work/accounts"; then
		echo "a key got out"
		return 1
	fi
	grep -q account-0 "$work/accounts"
}
sleep 4
"$build/packages/ctl/lilacctl" --node "$net.2.1:8083" "show accounts" \
	>"$work/accounts" 2>&1
await_verdict ", accounts"
