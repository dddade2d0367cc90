#include "adapters/peer_codec.h"

#include <string.h>

#include <peer.h>

#include "adapters/metrics.h"
#include "adapters/peer_record.h"

/* Heads of calls and answers without credentials take less. */
#define HEAD_MAX_BYTES 256
/* Encoded, so that head and message fit in the record of a call. */
#define MESSAGE_MAX_BYTES (PEER_CALL_MAX_BYTES - HEAD_MAX_BYTES)

_Static_assert(PEER_XDR_NAME_MAX == NAME_SIZE - 1, "peer.x and NAME_SIZE");
_Static_assert(PEER_XDR_MAX_REPORTS == PEER_MAX_REPORTS, "peer.x");
_Static_assert(PEER_XDR_MAX_SERVICES == PEER_MAX_SERVICES, "peer.x");
_Static_assert(PEER_XDR_MAX_BACKENDS == PEER_MAX_BACKENDS, "peer.x");
_Static_assert(PEER_XDR_MAX_CONFIG == CONFIG_MAX_BYTES, "peer.x");

/* What follows the head of a record to encode. */
struct body {
	xdrproc_t encode;
	void *data;
	size_t size; /* at most, in bytes */
};

static bool_t encode_nothing(XDR *xdrs, void *data)
{
	(void)xdrs;
	(void)data;
	return TRUE;
}

/* Record with room for head and body, and an encoder at its start. */
static GByteArray *start_record(const struct body *body, XDR *xdrs)
{
	size_t size = body->size + HEAD_MAX_BYTES;
	GByteArray *record = g_byte_array_new();

	g_byte_array_set_size(record, (guint)size + PEER_RECORD_MARK_SIZE);
	xdrmem_create(xdrs, (char *)record->data + PEER_RECORD_MARK_SIZE,
		      (u_int)size, XDR_ENCODE);
	return record;
}

static GByteArray *finish_record(GByteArray *record, XDR *xdrs, bool ok)
{
	size_t length = xdr_getpos(xdrs);

	xdr_destroy(xdrs);
	if (!ok) {
		g_byte_array_free(record, TRUE);
		return NULL;
	}
	g_byte_array_set_size(record, (guint)length + PEER_RECORD_MARK_SIZE);
	peer_record_set_mark(record);
	return record;
}

static GByteArray *encode_call(uint32_t xid, rpcproc_t procedure,
			       const struct body *body)
{
	struct rpc_msg head = { 0 };
	GByteArray *record;
	XDR xdrs;
	bool ok;

	head.rm_xid = xid;
	head.rm_direction = CALL;
	head.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	head.rm_call.cb_prog = PEER_PROGRAM;
	head.rm_call.cb_vers = PEER_VERSION;
	head.rm_call.cb_proc = procedure;
	record = start_record(body, &xdrs);
	ok = xdr_callmsg(&xdrs, &head) && body->encode(&xdrs, body->data);
	return finish_record(record, &xdrs, ok);
}

static GByteArray *encode_answer(uint32_t xid, enum accept_stat stat,
				 const struct body *body)
{
	struct rpc_msg head = { 0 };
	GByteArray *record;
	XDR xdrs;
	bool ok;

	head.rm_xid = xid;
	head.rm_direction = REPLY;
	head.rm_reply.rp_stat = MSG_ACCEPTED;
	head.acpted_rply.ar_stat = stat;
	if (stat == PROG_MISMATCH) {
		head.acpted_rply.ar_vers.low = PEER_VERSION;
		head.acpted_rply.ar_vers.high = PEER_VERSION;
	} else {
		head.acpted_rply.ar_results.proc = body->encode;
		head.acpted_rply.ar_results.where = body->data;
	}
	record = start_record(body, &xdrs);
	ok = xdr_replymsg(&xdrs, &head);
	return finish_record(record, &xdrs, ok);
}

static uint32_t fill_services(const struct peer_report *report,
			      peer_xdr_report *target)
{
	uint32_t count = MIN(report->service_count, PEER_MAX_SERVICES);
	peer_xdr_service *services = g_new0(peer_xdr_service, count);
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct peer_service_report *service = &report->services[i];

		services[i].service = service->service;
		services[i].slots = service->summary.slots;
		services[i].in_flight = service->summary.in_flight;
		services[i].waiting = service->summary.waiting;
		services[i].service_us = service->summary.service_us;
		services[i].wait_us = service->summary.wait_us;
	}
	target->services.services_len = count;
	target->services.services_val = services;
	return report->service_count - count;
}

static uint32_t fill_backends(const struct peer_report *report,
			      peer_xdr_report *target)
{
	uint32_t count = MIN(report->leaving_backend_count, PEER_MAX_BACKENDS);
	peer_xdr_name *backends = g_new0(peer_xdr_name, count);
	uint32_t i;

	for (i = 0; i < count; i++)
		backends[i] = report->leaving_backends[i];
	target->leaving_backends.leaving_backends_len = count;
	target->leaving_backends.leaving_backends_val = backends;
	return report->leaving_backend_count - count;
}

/* The texts stay in the report. How much was left out of it. */
static uint32_t fill_report(const struct peer_report *report,
			    peer_xdr_report *target)
{
	target->node = (char *)report->node;
	target->incarnation = report->incarnation;
	target->sequence = report->sequence;
	target->ticket_epoch = report->ticket_epoch;
	target->config_version = report->config_version;
	target->shares_version = report->shares_version;
	target->age_us = report->age_us;
	target->leaving = report->leaving;
	return fill_services(report, target) + fill_backends(report, target);
}

/* Not xdr_free(): the texts aren't the target's. */
static void clear_report(peer_xdr_report *target)
{
	g_free(target->services.services_val);
	g_free(target->leaving_backends.leaving_backends_val);
}

static void count_cut(uint32_t cut)
{
	if (cut)
		metric_add(metric_counter("lilacfield_peer_cut_total",
					  "Reports, and services and leaving "
					  "backend servers in them, that a "
					  "message had no room for.",
					  NULL),
			   cut);
}

/*
 * A message that is refused for its size would be as large at the next attempt:
 * its node would be cut off from all peers for as long as, say, many backend
 * servers leave at once. It goes out with what fits, its own report first.
 */
static size_t fill_message(const struct peer_message *message,
			   peer_xdr_message *target)
{
	uint32_t most = MIN(message->report_count, PEER_MAX_REPORTS);
	peer_xdr_report *reports = g_new0(peer_xdr_report, most);
	size_t size = sizeof(message->sender) + 2 * BYTES_PER_XDR_UNIT;
	uint32_t cut = 0;
	uint32_t i;

	for (i = 0; i < most; i++) {
		uint32_t left_out =
			fill_report(&message->reports[i], &reports[i]);

		size += xdr_sizeof((xdrproc_t)xdr_peer_xdr_report, &reports[i]);
		if (size > MESSAGE_MAX_BYTES) {
			clear_report(&reports[i]);
			break;
		}
		cut += left_out;
	}
	count_cut(cut + message->report_count - i);
	target->sender = (char *)message->sender;
	target->reports.reports_len = i;
	target->reports.reports_val = reports;
	return MIN(size, MESSAGE_MAX_BYTES);
}

static void clear_message(peer_xdr_message *target)
{
	uint32_t i;

	for (i = 0; i < target->reports.reports_len; i++)
		clear_report(&target->reports.reports_val[i]);
	g_free(target->reports.reports_val);
}

/* A message as an exchange's call or as its answer. */
static GByteArray *encode_message(uint32_t xid, bool is_call,
				  const struct peer_message *message)
{
	peer_xdr_message target;
	struct body body = { (xdrproc_t)xdr_peer_xdr_message, &target, 0 };
	GByteArray *record;

	body.size = fill_message(message, &target);
	record = is_call ? encode_call(xid, PEER_EXCHANGE, &body) :
			   encode_answer(xid, SUCCESS, &body);
	clear_message(&target);
	g_assert(record);
	return record;
}

GByteArray *peer_encode_exchange_call(uint32_t xid,
				      const struct peer_message *message)
{
	return encode_message(xid, true, message);
}

GByteArray *peer_encode_exchange_answer(uint32_t xid,
					const struct peer_message *message)
{
	return encode_message(xid, false, message);
}

GByteArray *peer_encode_config_call(uint32_t xid, uint64_t newer_than)
{
	peer_xdr_config_request request = { newer_than };
	struct body body = { (xdrproc_t)xdr_peer_xdr_config_request, &request,
			     sizeof(request) };

	return encode_call(xid, PEER_CONFIG, &body);
}

GByteArray *peer_encode_config_answer(uint32_t xid, uint64_t version,
				      const char *text)
{
	size_t length = text ? strlen(text) : 0;
	peer_xdr_config config = { 0 };
	struct body body = { (xdrproc_t)xdr_peer_xdr_config, &config,
			     sizeof(config) + length };

	if (length > CONFIG_MAX_BYTES)
		return NULL;
	config.config_version = version;
	config.text.text_len = (u_int)length;
	config.text.text_val = (char *)(text ? text : "");
	return encode_answer(xid, SUCCESS, &body);
}

GByteArray *peer_encode_empty_answer(uint32_t xid, int accept_stat)
{
	struct body body = { (xdrproc_t)encode_nothing, NULL, 0 };

	return encode_answer(xid, (enum accept_stat)accept_stat, &body);
}

/* Names go on into logs, metrics and look-ups: visible bytes only. */
static bool take_name(char *target, const char *name)
{
	const char *at;

	for (at = name; *at; at++)
		if (!g_ascii_isgraph(*at))
			return false;
	g_strlcpy(target, name, NAME_SIZE);
	return true;
}

static bool take_services(const peer_xdr_report *report,
			  struct peer_report *target)
{
	uint32_t i;

	target->service_count = report->services.services_len;
	target->services =
		g_new0(struct peer_service_report, target->service_count);
	for (i = 0; i < target->service_count; i++) {
		const peer_xdr_service *service =
			&report->services.services_val[i];
		struct gate_summary *summary = &target->services[i].summary;

		if (!take_name(target->services[i].service, service->service))
			return false;
		summary->slots = service->slots;
		summary->in_flight = service->in_flight;
		summary->waiting = service->waiting;
		summary->service_us = service->service_us;
		summary->wait_us = service->wait_us;
	}
	return true;
}

static bool take_backends(const peer_xdr_report *report,
			  struct peer_report *target)
{
	uint32_t count = report->leaving_backends.leaving_backends_len;
	uint32_t i;

	target->leaving_backend_count = count;
	target->leaving_backends = g_malloc0_n(count, NAME_SIZE);
	for (i = 0; i < count; i++)
		if (!take_name(target->leaving_backends[i],
			       report->leaving_backends.leaving_backends_val[i]))
			return false;
	return true;
}

static bool take_report(const peer_xdr_report *report,
			struct peer_report *target)
{
	target->incarnation = report->incarnation;
	target->sequence = report->sequence;
	target->ticket_epoch = report->ticket_epoch;
	target->config_version = report->config_version;
	target->shares_version = report->shares_version;
	target->age_us = report->age_us;
	target->leaving = report->leaving;
	return take_name(target->node, report->node) &&
	       take_services(report, target) && take_backends(report, target);
}

static bool take_message(const peer_xdr_message *message,
			 struct peer_message *target)
{
	uint32_t i;

	memset(target, 0, sizeof(*target));
	if (!take_name(target->sender, message->sender))
		return false;
	target->report_count = message->reports.reports_len;
	target->reports = g_new0(struct peer_report, target->report_count);
	for (i = 0; i < target->report_count; i++)
		if (!take_report(&message->reports.reports_val[i],
				 &target->reports[i])) {
			peer_message_release(target);
			return false;
		}
	return true;
}

/* Whether decoding ended at the very end of the record. */
static bool is_at_end(XDR *xdrs, const GByteArray *record)
{
	return xdr_getpos(xdrs) == record->len;
}

static bool decode_message(XDR *xdrs, const GByteArray *record,
			   struct peer_message *message)
{
	peer_xdr_message source = { 0 };
	bool ok;

	ok = xdr_peer_xdr_message(xdrs, &source) && is_at_end(xdrs, record) &&
	     take_message(&source, message);
	xdr_free((xdrproc_t)xdr_peer_xdr_message, &source);
	return ok;
}

/* The arguments of the call that the head names, or why it is refused. */
static enum accept_stat decode_arguments(XDR *xdrs, const GByteArray *record,
					 const struct rpc_msg *head,
					 struct peer_call *call)
{
	if (head->rm_call.cb_prog != PEER_PROGRAM)
		return PROG_UNAVAIL;
	if (head->rm_call.cb_vers != PEER_VERSION)
		return PROG_MISMATCH;
	switch (head->rm_call.cb_proc) {
	case NULLPROC:
		call->procedure = PEER_CALL_NOTHING;
		return SUCCESS;
	case PEER_EXCHANGE:
		call->procedure = PEER_CALL_EXCHANGE;
		if (!decode_message(xdrs, record, &call->message))
			return GARBAGE_ARGS;
		return SUCCESS;
	case PEER_CONFIG:
		call->procedure = PEER_CALL_CONFIG;
		if (!xdr_uint64_t(xdrs, &call->newer_than) ||
		    !is_at_end(xdrs, record))
			return GARBAGE_ARGS;
		return SUCCESS;
	default:
		return PROC_UNAVAIL;
	}
}

bool peer_decode_call(const GByteArray *record, struct peer_call *call)
{
	char credentials[MAX_AUTH_BYTES];
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg head = { 0 };
	XDR xdrs;
	bool ok;

	memset(call, 0, sizeof(*call));
	head.rm_call.cb_cred.oa_base = credentials;
	head.rm_call.cb_verf.oa_base = verifier;
	xdrmem_create(&xdrs, (char *)record->data, record->len, XDR_DECODE);
	ok = xdr_callmsg(&xdrs, &head);
	if (ok) {
		call->xid = head.rm_xid;
		call->refusal = decode_arguments(&xdrs, record, &head, call);
		if (call->refusal != SUCCESS)
			call->procedure = PEER_CALL_REFUSED;
	}
	xdr_destroy(&xdrs);
	return ok;
}

/* Read the head of the answer to this call; the results follow. */
static bool decode_answer_head(XDR *xdrs, uint32_t xid)
{
	char verifier[MAX_AUTH_BYTES];
	struct rpc_msg head = { 0 };

	head.acpted_rply.ar_verf.oa_base = verifier;
	head.acpted_rply.ar_results.proc = (xdrproc_t)encode_nothing;
	return xdr_replymsg(xdrs, &head) && head.rm_xid == xid &&
	       head.rm_reply.rp_stat == MSG_ACCEPTED &&
	       head.acpted_rply.ar_stat == SUCCESS;
}

bool peer_decode_exchange_answer(const GByteArray *record, uint32_t xid,
				 struct peer_message *message)
{
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, (char *)record->data, record->len, XDR_DECODE);
	ok = decode_answer_head(&xdrs, xid) &&
	     decode_message(&xdrs, record, message);
	xdr_destroy(&xdrs);
	return ok;
}

/* Text that ends before its length would be taken for a shorter one. */
static bool take_config(const peer_xdr_config *config, uint64_t *version,
			char **text)
{
	size_t length = config->text.text_len;

	if (length && memchr(config->text.text_val, '\0', length))
		return false;
	*version = config->config_version;
	*text = length ? g_strndup(config->text.text_val, length) : NULL;
	return true;
}

bool peer_decode_config_answer(const GByteArray *record, uint32_t xid,
			       uint64_t *version, char **text)
{
	peer_xdr_config config = { 0 };
	XDR xdrs;
	bool ok;

	xdrmem_create(&xdrs, (char *)record->data, record->len, XDR_DECODE);
	ok = decode_answer_head(&xdrs, xid) &&
	     xdr_peer_xdr_config(&xdrs, &config) && is_at_end(&xdrs, record) &&
	     take_config(&config, version, text);
	xdr_free((xdrproc_t)xdr_peer_xdr_config, &config);
	xdr_destroy(&xdrs);
	return ok;
}

void peer_message_release(struct peer_message *message)
{
	uint32_t i;

	for (i = 0; i < message->report_count; i++) {
		g_free(message->reports[i].services);
		g_free(message->reports[i].leaving_backends);
	}
	g_free(message->reports);
	message->reports = NULL;
	message->report_count = 0;
}
