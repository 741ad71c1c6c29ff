/* HTTP server over libmicrohttpd.  A request is handed over whole and its
   connection waits, suspended, until it is answered from any thread.  */
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
  HS_MAX_HEADERS = 4 /* of an answer */
};

/* What arrived.  Every pointer holds until hs_answer.  */
struct hs_request
{
  const char *method, *path;
  const char *authorization, *if_match;              /* or NULL */
  const char *idempotency_key, *idempotency_attempt; /* or NULL */
  const char *body;                                  /* NUL-terminated */
  size_t body_size;                                  /* bytes */
  int too_large; /* the body passed the limit and was dropped */
  char peer[64]; /* "IP" of the other end */
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

struct hs_exchange; /* one request and the place for its answer */
struct hs_server;

/* Runs on a server thread for each whole request; must not block, and
   hs_answer must follow exactly once, from any thread.  */
typedef void hs_handle (void *arg, struct hs_exchange *ex);

struct hs_config
{
  const char *listen;             /* "IP:PORT"; port 0 takes a free one */
  const char *tls_cert, *tls_key; /* PEM text, or NULL for plain HTTP */
  int threads;
  int max_connections;
  size_t max_body; /* bytes of a request */
  int idle_s;      /* seconds before a silent connection is closed */
  hs_handle *handle;
  void *arg;
};

/* *OUT is set before the first request is handled.  */
int hs_new (struct hs_server **out, const struct hs_config *config);
int hs_port (const struct hs_server *hs);
const struct hs_request *hs_request_of (const struct hs_exchange *ex);
/* Value of a query argument, or NULL; holds until hs_answer,
   from any thread, as the connection waits.  */
const char *hs_query (struct hs_exchange *ex, const char *name);
/* Value of a request's header, or NULL; the same.  */
const char *hs_header (struct hs_exchange *ex, const char *name);
void hs_answer (struct hs_exchange *ex, const struct hs_answer *answer);

/* From now on every answer closes its connection.  */
void hs_drain (struct hs_server *hs);
/* Takes no new connection any more; those open go on.  */
void hs_stop_listening (struct hs_server *hs);
int hs_in_progress (struct hs_server *hs);
int hs_connections (struct hs_server *hs);
/* Exchanges whose answer did not reach the other end whole.  */
int64_t hs_cut (struct hs_server *hs);
/* To be called once hs_in_progress is 0.  */
void hs_free (struct hs_server *hs);
const char *hs_strerror (int error);

#endif
