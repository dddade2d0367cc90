#!/bin/sh
# prove.sh - search the models, each sound and with each of its seeded faults
#
# usage: prove.sh [MODEL]
#
# A sound variant must be searched to the end without an error; a faulty one
# must be caught by an assertion. Prints a line a variant and exits non-zero if
# one isn't as expected. Spin's files go to a temporary directory. At most JOBS
# searches run at once (4).
set -u

here=$(cd "$(dirname "$0")" && pwd)
depth=1000000

# A search that never ends must not stop CI; the longest took 22 to 43 s beside
# other work and over 60 beside two CI runs, so the limit is far from both.
limit_s=600

variants()
{
	cat <<-'END'
	at_most_once SOUND clean
	at_most_once PORTABLE clean
	at_most_once NO_INCARNATION_CHECK caught
	at_most_once NO_NODE_CHECK caught
	at_most_once ELSEWHERE_NOT_RUN caught
	at_most_once OLD_NOT_RUN caught
	at_most_once LEDGER_EVICT caught
	at_most_once REFUSAL_KEEPS_TICKET caught
	at_most_once NO_FENCE caught
	at_most_once NO_TOMBSTONE caught
	at_most_once NO_HOP_INCARNATION caught
	at_most_once TIMEOUT_NOT_RUN caught
	at_most_once REUSED_CONNECTION caught
	at_most_once MIXED caught
	shift_cap SOUND clean
	shift_cap LEASE_FROM_REPLY caught
	shift_cap LEASE_FROM_READ caught
	shift_cap NO_DRIFT caught
	shift_cap NO_WINDOW caught
	shift_cap NO_WAIT caught
	shift_cap WAIT_FROM_SENDING caught
	shift_cap KEEP_WAIT caught
	shift_cap NO_ADMIT_CHECK caught
	shift_cap BLIND_WRITE caught
	shift_cap LOST_IS_WRITTEN caught
	shift_cap FREE_KEEPS_LEASE caught
	shift_cap FREE_KEEPS_WRITES caught
	shift_cap NO_NEW_NAME caught
	config_row SOUND clean
	config_row BLIND_WRITE caught
	config_row LOST_IS_ACCEPTED caught
	config_row LOST_IS_RETRIED caught
	config_row NO_READ_BACK caught
	config_spread SOUND clean
	config_spread VERSION_GOES_BACK caught
	config_spread SERVE_EMPTY caught
	config_spread NO_PUSH caught
	config_spread NO_FALLBACK caught
	leave SOUND clean
	leave NO_OFFER_CHECK caught
	leave NO_GRANT_CHECK caught
	leave PLATFORM_ONLY caught
	leave LAST_SIGN_WINS caught
	leave CHANGE_FORGETS caught
	leave BLIND_RESTART caught
	hearsay SOUND clean
	hearsay PASSED_ON caught
	share SOUND clean
	share AT_ONCE caught
	share AT_LEAST caught
	share DECLARE_EARLY caught
	share NO_ANSWER caught
	stop SOUND clean
	stop EXIT_EARLY caught
	stop NO_LINGER caught
	stop LINGER_TTL_ONLY caught
	stop LISTS_ITSELF caught
	stop PEER_LISTS_LEAVING caught
	stop CLOSE_AFTER_CHECK caught
	answers SOUND clean
	answers REUSE_OUTSTANDING caught
	answers NO_CLOSED_CHECK caught
	hop SOUND clean
	hop RETRY_BROKEN caught
	hop RETRY_ONCE caught
	hop REFUSE_BROKEN caught
	hop TRUST_STATUS caught
	hop NO_SENDS caught
	hop HOP_ON caught
	send SOUND clean
	send RESEND_BROKEN caught
	send REFUSE_OPEN caught
	send TRUST_STATUS caught
	send NOT_RUN_SETTLES caught
	send NO_ID_CHECK caught
	send NO_EXPECT caught
	word SOUND clean
	word NO_AGE caught
	word NO_DIGEST caught
	word NO_OWN_CALL caught
	word LONG_WORD caught
	word NO_TABLE_AGE caught
	deny SOUND clean
	deny DENY_ANY_AGE caught
	deny CONFIRM_ARRIVING caught
	deny CONFIRM_AT_END caught
	deny NO_AGE caught
	deny CALL_LIMIT caught
	cold SOUND clean
	cold HEARD_ONLY caught
	cold COUNT_SENT caught
	claim SOUND clean
	claim SHORT_WAIT caught
	claim NO_WAIT caught
	claim NO_ORDER caught
	claim END_UNTOLD caught
	suspect SOUND clean
	suspect COUNT_REPORTS caught
	suspect COUNT_BREAKS caught
	suspect COUNT_BESIDE caught
	suspect NO_LIMIT caught
	suspect NO_ROW caught
	suspect COUNT_ALL caught
	history SOUND clean
	history NO_VERSION caught
	history NO_REMOVED caught
	history PART_CONFIRMS caught
	restore SOUND clean
	restore NUMBER_ONLY caught
	restore FOLLOWS_ON caught
	restore LATE_ANSWER caught
	restore PEER_BY_NUMBER caught
	restore KEEPS_COUNTER caught
	account_parts SOUND clean
	account_parts NO_WAIT caught
	account_parts NO_STOP caught
	account_parts FULL_RESTART caught
	parts SOUND clean
	parts NO_WAIT caught
	parts LIVE_ONLY caught
	END
}

# One variant: model, variant, expected.
prove_one()
{
	dir=$(mktemp -d "$PROVE_DIR/$1.$2.XXXXXX") || exit 1
	cd "$dir" || exit 1
	start=$(date +%s.%N)
	if spin -D"$2" -a "$here/$1.pml" >spin.out 2>&1 &&
	   gcc -w -O2 -DSAFETY -DVECTORSZ=4096 -o pan pan.c >gcc.out 2>&1
	then
		timeout $limit_s ./pan -m$depth -w22 >pan.out 2>&1
	else
		cat spin.out gcc.out 2>/dev/null >pan.out
	fi
	end=$(date +%s.%N)

	if grep -q 'assertion violated' pan.out
	then
		found=caught
	elif grep -q 'errors: 0$' pan.out &&
	     ! grep -Eq 'too small|not completed|out of memory' pan.out
	then
		found=clean
	else
		found=broken
	fi
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
	verdict=ok
	test "$found" = "$3" || verdict=FAILED
	printf '%-14s %-22s expected=%-6s found=%-6s states=%-9s seconds=%s %s\n' \
		"$1" "$2" "$3" "$found" "${states:-none}" \
		"$(echo "$end $start" | awk '{ printf "%.1f", $1 - $2 }')" "$verdict"
	if test $verdict = FAILED
	then
		touch "$PROVE_DIR/failed"
		tail -n 20 pan.out
	fi
	rm -f pan pan.?
}

if test "${1:-}" = --one
then
	prove_one "$2" "$3" "$4"
	exit 0
fi

PROVE_DIR=$(mktemp -d) || exit 1
export PROVE_DIR
trap 'rm -rf "$PROVE_DIR"' EXIT
variants | grep "^${1:-}" |
	xargs -P "${JOBS:-4}" -L 1 sh "$0" --one
if test -e "$PROVE_DIR/failed"
then
	echo "prove: FAILED" >&2
	exit 1
fi
echo "prove: all variants as expected"
