/*
 * wire - HTTP header names and paths, for callers, nodes and operators
 *
 * docs/API.md describes each. Times are remaining microseconds, not points in
 * time, because clocks of different machines are never compared.
 */
#ifndef CORE_WIRE_H
#define CORE_WIRE_H

/* Callers */
#define WIRE_PATH_LOOKUP "/v1/lookup"
#define WIRE_PATH_SERVICE "/v1/svc/"
#define WIRE_HEADER_REQUEST_ID "X-Request-Id"
#define WIRE_HEADER_DEADLINE "X-Deadline-Us"
#define WIRE_HEADER_TICKET "X-Ticket"
#define WIRE_HEADER_ORIGIN "X-Origin-Place"
#define WIRE_HEADER_TRACEPARENT "traceparent"

/* Answers */
#define WIRE_HEADER_RESULT "X-Lilac-Result"
#define WIRE_HEADER_RETRY_AFTER "Retry-After"
#define WIRE_HEADER_RETRY_AFTER_US "X-Retry-After-Us"
#define WIRE_HEADER_PLACE "X-Lilac-Place"
#define WIRE_HEADER_BACKEND "X-Lilac-Backend"
#define WIRE_HEADER_NODE "X-Lilac-Node"

/* Between nodes: from an entry node to the gate of a place */
#define WIRE_PATH_HOP "/v1/hop/"
#define WIRE_PATH_FENCE "/v1/fence"
#define WIRE_HEADER_ATTEMPT "X-Lilac-Attempt"
#define WIRE_HEADER_SHIFT "X-Lilac-Shift"
#define WIRE_HEADER_INCARNATION "X-Lilac-Incarnation"

/* Operators */
#define WIRE_PATH_COMMAND "/v1/command"
#define WIRE_PATH_METRICS "/metrics"
#define WIRE_PATH_HEALTH "/healthz"
#define WIRE_PATH_READY "/readyz"

/* Backend servers */
#define WIRE_PATH_BACKEND_LOAD "/load"
#define WIRE_PATH_BACKEND_HEALTH "/health"
#define WIRE_HEADER_BACKEND_NOT_RUN "X-Not-Run"

#endif
