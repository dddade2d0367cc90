/*
 * peer_codec - calls and answers of peer.x as records
 *
 * Encoders return a whole record with its mark. What a message holds beyond the
 * bounds of peer.x is left out from the end and counted. Decoders take a record
 * without marks, trust nothing in it and leave nothing to release where they
 * return false.
 */
#ifndef ADAPTERS_PEER_CODEC_H
#define ADAPTERS_PEER_CODEC_H

#include "adapters/peer_rpc.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Largest record of a call, and of an answer, which may be a configuration. */
#define PEER_CALL_MAX_BYTES (4 * 1024 * 1024)
#define PEER_ANSWER_MAX_BYTES (CONFIG_MAX_BYTES + 64 * 1024)

enum peer_procedure {
	PEER_CALL_NOTHING, /* asks only whether the server answers */
	PEER_CALL_EXCHANGE,
	PEER_CALL_CONFIG,
	PEER_CALL_REFUSED, /* to be answered with the refusal */
};

struct peer_call {
	uint32_t xid;
	enum peer_procedure procedure;
	int refusal; /* accept_stat of RFC 5531 */
	struct peer_message message; /* of an exchange */
	uint64_t newer_than; /* of a call for the configuration */
};

GByteArray *peer_encode_exchange_call(uint32_t xid,
				      const struct peer_message *message);
GByteArray *peer_encode_config_call(uint32_t xid, uint64_t newer_than);

/* False for what isn't a call; release with peer_message_release(). */
bool peer_decode_call(const GByteArray *record, struct peer_call *call);

GByteArray *peer_encode_exchange_answer(uint32_t xid,
					const struct peer_message *message);
/* text is NULL where there is nothing newer; NULL where it is too large. */
GByteArray *peer_encode_config_answer(uint32_t xid, uint64_t version,
				      const char *text);
/* An answer without results: accept_stat of RFC 5531. */
GByteArray *peer_encode_empty_answer(uint32_t xid, int accept_stat);

/* False for a refusal, for the answer to another call and for garbage. */
bool peer_decode_exchange_answer(const GByteArray *record, uint32_t xid,
				 struct peer_message *message);
bool peer_decode_config_answer(const GByteArray *record, uint32_t xid,
			       uint64_t *version, char **text);

#ifdef __cplusplus
}
#endif

#endif
