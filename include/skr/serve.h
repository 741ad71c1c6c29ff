/* HTTP server over libmicrohttpd.  The handler receives complete requests; the
   connection stays suspended until any thread answers.  */
#ifndef SKR_SERVE_H
#define SKR_SERVE_H

#include <stddef.h>
#include <stdint.h>

enum hs_error
{
  HS_OK = 0,
  HS_EINVAL = -321, /* bad address or TLS material */
  HS_ENOMEM = -322,
  HS_EBIND = -323 /* the address could not be bound */
};

enum
{
  HS_MAX_HEADERS = 4 /* in an answer */
};

/* A received request.  All pointers are valid until hs_answer.  */
struct hs_request
{
  const char *method, *path;
  const char *authorization, *if_match;              /* or NULL */
  const char *idempotency_key, *idempotency_attempt; /* or NULL */
  const char *body;                                  /* NUL-terminated */
  size_t body_size;                                  /* bytes */
  /* Why the body is not kept, so that BODY is empty: it is larger than
     max_body, or too much memory is in use for bodies.  */
  int too_large, dropped;
  char peer[64]; /* IP address of the client */
};

struct hs_header
{
  const char *name, *value;
};

struct hs_answer
{
  int status;
  const char *content_type;
  const char *body; /* copied */
  struct hs_header header[HS_MAX_HEADERS];
};

struct hs_exchange; /* a request and its answer; opaque */
struct hs_server;

/* What the server's clients hold, and what was given up for others.  */
struct hs_counts
{
  int open;        /* connections */
  int64_t closed;  /* connections closed so far, for want of a place */
  size_t held;     /* bytes of larger bodies */
  int64_t dropped; /* bodies dropped so far, for want of memory */
};

/* Called on a server thread for each complete request; must not block.
   hs_answer must be called exactly once for EX, from any thread.  */
typedef void hs_handle (void *arg, struct hs_exchange *ex);

/* Called on a server thread once the head of a request has arrived.  Returns 0
   if its body need not be kept; BODY is then empty.  */
typedef int hs_wants_body (void *arg, struct hs_exchange *ex);

struct hs_config
{
  const char *listen;             /* "IP:PORT"; port 0 selects a free one */
  const char *tls_cert, *tls_key; /* PEM text, or NULL for plain HTTP */
  int threads;
  /* From seven eighths of it on, the connection that has waited for longest is
     closed for each new one.  One whose request is handled is not.  */
  int max_connections;
  /* Bytes of a request.  Each connection may hold 16 KiB of a body.  All
     larger ones together may hold 16 KiB for each of max_connections, or 4
     bodies of the largest size if that is more.  Beyond it the unfinished body
     that has cost most is dropped; its request is passed to the handler once
     it ends.  */
  size_t max_body;
  int idle_s; /* seconds after which an idle connection is closed */
  hs_wants_body *wants_body; /* NULL: each is kept */
  hs_handle *handle;
  void *arg; /* of both */
};

/* Starts a server; returns 0 or an hs_error.  *OUT is set before the first
   request is handled; it is freed by hs_free.  */
int hs_new (struct hs_server **out, const struct hs_config *config);
int hs_port (const struct hs_server *hs);
const struct hs_request *hs_get_request (const struct hs_exchange *ex);
/* Value of a query argument, or NULL; valid until hs_answer.  May be called
   from any thread, because the connection is suspended.  */
const char *hs_query (struct hs_exchange *ex, const char *name);
/* Value of a request header, or NULL; same rules as for hs_query.  */
const char *hs_header (struct hs_exchange *ex, const char *name);
/* Answers EX, which must not be used afterwards.  */
void hs_answer (struct hs_exchange *ex, const struct hs_answer *answer);

/* Makes every further answer close its connection.  */
void hs_drain (struct hs_server *hs);
/* Stops accepting connections, after those that wait to be accepted; open ones
   continue.  */
void hs_stop_listening (struct hs_server *hs);
/* Number of requests that were received whole and whose answer is not sent
   yet.  A client decides how long it takes to send a request, and to read the
   answer; a stop must not wait for either without a bound.  */
int hs_in_progress (struct hs_server *hs);
/* Number of those for which hs_answer was not called yet.  */
int hs_unanswered (struct hs_server *hs);
/* Number of open connections, and 1 more if others wait to be accepted.  */
int hs_connections (struct hs_server *hs);
void hs_count (struct hs_server *hs, struct hs_counts *out);
/* Number of exchanges whose answer was not sent completely.  */
int64_t hs_count_truncated (struct hs_server *hs);
/* Closes the connections.  May be called only when hs_unanswered is 0.  */
void hs_free (struct hs_server *hs);
const char *hs_strerror (int error);

#endif
