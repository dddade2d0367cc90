#!/usr/bin/env bash
# Writes one user's deployment: config.json, fleet.txt for the backend servers'
# stand-ins, and a settings file for each node.
#
#     generate.sh USER DIR
set -euo pipefail
. "$(dirname "$0")/users.sh"

out=$2
"describe_$1"

each_place() { # CALLBACK: is called with NUMBER NAME REGION ENTRY_VMS
	local i
	for i in "${!places[@]}"; do
		# shellcheck disable=SC2086 # a row is split into its words
		"$1" $((i + 1)) ${places[$i]}
	done
}

joined() { # lines on stdin as members of a JSON array
	paste -sd, -
}

service_json() { # NAME CLASS TIMEOUT_US …
	printf '{"name":"%s","class":"%s","timeout_us":%s}\n' "$1" "$2" "$3"
}

services_json() {
	local row
	for row in "${services[@]}"; do
		# shellcheck disable=SC2086
		service_json $row
	done
}

place_json() { # NUMBER NAME REGION ENTRY_VMS
	printf '{"name":"%s","region":"%s"}\n' "$2" "$3"
	printf '{"prefix":"%s.%s.0/24","place":"%s"}\n' "$net" "$1" "$2" \
		>>"$out/blocks"
}

nodes_json() { # NUMBER NAME REGION ENTRY_VMS
	local i
	for ((i = 1; i <= $4; i++)); do
		printf '{"name":"n-%s-%d","place":"%s","address":"%s.%s.%d",' \
			"$2" "$i" "$2" "$net" "$1" "$i"
		printf '"http_port":%d,"peer_port":%d}\n' $http_port $peer_port
	done
}

# Every second backend server is an old VM of 0.6 times the strength.
strength_permille() { # INDEX
	if (($1 % 2)); then echo 1000; else echo 600; fi
}

place_backends() { # NUMBER NAME: lines "BACKEND SERVICE ENDPOINT …"
	local row words i last=100
	for row in "${services[@]}"; do
		read -ra words <<<"$row"
		for ((i = 1; i <= words[4 + $1]; i++)); do
			echo "${words[0]}-$2-$i ${words[0]}" \
				"$net.$1.$((last++)):$backend_port" \
				"${words[3]} ${words[4]} $(strength_permille $i)"
		done
	done
}

place_backends_json() { # NUMBER NAME REGION ENTRY_VMS
	local name service endpoint slots rest
	place_backends "$@" | while read -r name service endpoint slots rest; do
		printf '{"name":"%s","service":"%s","place":"%s",' \
			"$name" "$service" "$2"
		printf '"address":"%s","port":%s,"slots":%s}\n' \
			"${endpoint%:*}" "${endpoint#*:}" "$slots"
	done
}

links_json() {
	local regions from to
	regions=$(printf '%s\n' "${places[@]}" | awk '{print $2}' | sort -u)
	for from in $regions; do
		for to in $regions; do
			[[ $from < $to ]] || continue
			printf '{"from":"%s","to":"%s","one_way_us":%s}\n' \
				"$from" "$to" "$link_us"
		done
	done
}

write_config() {
	: >"$out/blocks"
	{
		printf '{"services":[%s],\n' "$(services_json | joined)"
		printf '"places":[%s],\n' "$(each_place place_json | joined)"
		printf '"nodes":[%s],\n' "$(each_place nodes_json | joined)"
		printf '"backends":[%s],\n' \
			"$(each_place place_backends_json | joined)"
		printf '"links":[%s],\n' "$(links_json | joined)"
		printf '"shifts":[],"blocks":[%s],"commands":[]}\n' \
			"$(joined <"$out/blocks")"
	} >"$out/config.json"
	rm "$out/blocks"
}

first_nodes() { # NUMBER NAME REGION ENTRY_VMS: the peer address of the first
	printf '"%s.%s.1:%d"\n' "$net" "$1" $peer_port
}

write_settings() { # NUMBER NAME REGION ENTRY_VMS
	local i
	for ((i = 1; i <= $4; i++)); do
		cat >"$out/n-$2-$i.toml" <<-END
			[node]
			name = "n-$2-$i"
			place = "$2"
			address = "$net.$1.$i"
			http_port = $http_port
			peer_port = $peer_port

			[platform]
			address = "$(platform_address)"
			port = $platform_port

			[seeds]
			peers = [$(each_place first_nodes | joined)]

			[limits]
			http_threads = 128

			[log]
			path = "$out/n-$2-$i.log"
		END
	done
}

mkdir -p "$out"
write_config
each_place place_backends >"$out/fleet.txt"
each_place write_settings
