#!/bin/sh
# Installs the Debian packages named that are not there yet. Prints nothing
# where there is nothing to do.
set -eu

missing=
for package in "$@"; do
	if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed'; then
		missing="$missing $package"
	fi
done
[ -z "$missing" ] && exit 0

as_root=
[ "$(id -u)" -eq 0 ] || as_root=sudo
$as_root apt-get update -qq
# shellcheck disable=SC2086 # the list is split on purpose
$as_root env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
