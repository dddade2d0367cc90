# The two users' deployments of today, as tables; sourced by generate.sh and
# demo.sh. Each place is "NAME REGION ENTRY_VMS"; each service is
# "NAME CLASS TIMEOUT_US SLOTS SERVICE_US BACKENDS_BY_PLACE…".

describe_calderas() {
	link_us=55000
	places=(
		"central-1 central 2" "central-2 central 2"
		"sur-1 sur 2" "sur-2 sur 1"
		"altiplano-1 altiplano-oc 2" "altiplano-2 altiplano-oc 1"
	)
	services=(
		"svc-historia interactive 2000000 7 30000 2 2 2 2 2 2"
		"svc-certif non-idempotent 5000000 3 60000 2 2 2 2 2 2"
		"svc-archivo background 30000000 8 150000 2 2 2 2 2 2"
	)
}

describe_coop() {
	link_us=35000
	places=(
		"santiago-1 santiago 2" "santiago-2 santiago 2"
		"concepcion-1 concepcion 1" "concepcion-2 concepcion 2"
		"antofagasta-1 antofagasta 1" "antofagasta-2 antofagasta 1"
	)
	services=(
		"inventario interactive 2000000 3 25000 3 3 2 2 2 2"
		"flota interactive 2000000 3 25000 3 3 2 2 2 2"
		"pedidos non-idempotent 5000000 3 60000 2 2 2 2 2 2"
	)
}

# Each run has its own network, so that runs at one time don't meet.
: "${DEMO_OCTET:=128}"
net=127.$DEMO_OCTET

# Place number P (from 1) has its nodes at NET.P.1, NET.P.2 and its backend
# servers from NET.P.100 up; the stand-ins' own addresses are NET.9.x.
platform_address() { echo "$net.9.1"; }
fleet_address() { echo "$net.9.2"; }
http_port=8080
peer_port=8081
platform_port=7000
fleet_port=7001
backend_port=9000
