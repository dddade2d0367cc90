# What scripts share that play a table of cases: SCRIPT BUILD_DIR SEED [CASE...].

# Unless one case is named, plays those that are, or else all, JOBS at a time, and
# ends the script.
play_each() { # ALL_CASES BUILD_DIR SEED [CASE...]
	local all=$1 build=$2 seed=$3
	shift 3
	[ $# != 1 ] || return 0
	printf '%s\n' ${*:-$all} | sort |
		xargs -P "${JOBS:-2}" -I CASE "$0" "$build" "$seed" CASE
	exit
}
