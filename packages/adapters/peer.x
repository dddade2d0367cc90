/*
 * Reports and configuration between nodes. `rpcgen -h` and `rpcgen -c` make
 * generated/peer.h and generated/peer_xdr.c of it; both are committed.
 *
 * The bounds are those of core/build_options.h and adapters/peer_rpc.h, which
 * peer_rpc.c checks; xdr refuses what goes beyond them.
 */
const PEER_XDR_NAME_MAX = 63;
const PEER_XDR_MAX_REPORTS = 2048;
const PEER_XDR_MAX_SERVICES = 1024;
const PEER_XDR_MAX_BACKENDS = 4096;
const PEER_XDR_MAX_CONFIG = 16777216;

typedef string peer_xdr_name<PEER_XDR_NAME_MAX>;

struct peer_xdr_service {
	peer_xdr_name service;
	unsigned int slots;
	unsigned int in_flight;
	unsigned int waiting;
	unsigned hyper service_us;
	unsigned hyper wait_us;
};

struct peer_xdr_report {
	peer_xdr_name node;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned hyper ticket_epoch;
	unsigned hyper config_version;
	unsigned hyper shares_version;
	unsigned hyper age_us;
	bool leaving;
	peer_xdr_service services<PEER_XDR_MAX_SERVICES>;
	peer_xdr_name leaving_backends<PEER_XDR_MAX_BACKENDS>;
};

struct peer_xdr_message {
	peer_xdr_name sender;
	peer_xdr_report reports<PEER_XDR_MAX_REPORTS>;
};

struct peer_xdr_config_request {
	unsigned hyper newer_than;
};

struct peer_xdr_config {
	unsigned hyper config_version;
	/* Empty where the asker has the newest. */
	opaque text<PEER_XDR_MAX_CONFIG>;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		peer_xdr_message PEER_EXCHANGE(peer_xdr_message) = 1;
		peer_xdr_config PEER_CONFIG(peer_xdr_config_request) = 2;
	} = 1;
} = 0x20000c1a;
