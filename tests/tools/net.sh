# For scripts that start processes: the first two numbers of loopback addresses
# that no other run on this machine uses until this shell and all that it started
# have ended.

NET_FIRST=40
NET_COUNT=200

take_net() { # SECOND_NUMBER: sets net; 1 where it is in use
	exec {net_lock}>"${TMPDIR:-/tmp}/lilacfield-net.$1"
	if flock --nonblock "$net_lock"; then
		net=127.$1
		return 0
	fi
	exec {net_lock}>&-
	return 1
}

claim_net() { # [SECOND_NUMBER]: this one, or any that is free
	local i
	for i in $(seq 0 $((NET_COUNT - 1))); do
		if take_net "${1:-$((NET_FIRST + ($$ + i) % NET_COUNT))}"; then
			return
		fi
	done
	echo "loopback network ${1:+127.$1 }is in use" >&2
	exit 2
}
