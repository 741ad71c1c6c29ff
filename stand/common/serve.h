/* HTTP server of the stand-ins.  Each connection has a thread, so a handler
   may block.  Open connections can be made silent, which simulates a peer that
   accepts requests and never answers.  */
#ifndef STAND_SERVE_H
#define STAND_SERVE_H

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

enum sv_error
{
  SV_OK = 0,
  SV_EINVAL = -901, /* the address is not IP:PORT */
  SV_ELISTEN = -902 /* the address could not be bound */
};

enum
{
  SV_ADDRESS = 64,      /* bytes of "IP:PORT" with its NUL */
  SV_MAX_BODY = 8 << 20 /* bytes of a request */
};

struct sv_request
{
  const char *method;
  const char *path; /* unescaped, without the query */
  const char *body; /* NUL-terminated */
  size_t size;      /* bytes of the body */
  void *connection; /* for sv_header and sv_query */
  int *counted;     /* variable of the connection for the handler, first 0 */
};

/* One of JSON and RAW is the body; both are freed by the server.  */
struct sv_reply
{
  int status;        /* HTTP status */
  int close;         /* close the connection without an answer */
  int retry_after_s; /* 0 for no Retry-After */
  json_t *json;
  char *raw;       /* allocated with malloc */
  size_t raw_size; /* bytes */
};

/* Handles a request.  Runs on the connection's thread and may block.  */
typedef void sv_handle (void *arg, const struct sv_request *request,
                        struct sv_reply *reply);
/* Is called when a connection ends whose *COUNTED was set by the handler.  */
typedef void sv_closed (void *arg);

struct sv_server
{
  void *daemon;
  sv_handle *handle;
  sv_closed *closed;       /* may be NULL */
  void *arg;               /* for HANDLE and CLOSED */
  atomic_int silent_below; /* connections with lower numbers are silent */
  atomic_int muted;        /* every connection is silent */
  atomic_int next_number;  /* of the next connection */
  atomic_int requests_in_progress;
  atomic_int silenced; /* requests on silent connections */
  atomic_int stopping;
  atomic_long bytes_in;  /* of request bodies, without /v1/admin/ */
  atomic_long bytes_out; /* of answer bodies */
  char address[SV_ADDRESS];
};

/* Binds LISTEN, "IP:PORT" with port 0 for a free one, and starts to serve.
   CLOSED may be NULL.  Returns SV_OK or an error.  */
int sv_init (struct sv_server *sv, const char *listen, sv_handle *handle,
             sv_closed *closed, void *arg);
/* Closes the connections and joins the threads.  */
void sv_fini (struct sv_server *sv);
/* Makes every connection that is open now silent: it gets no more answers.  */
void sv_silence (struct sv_server *sv);
/* While MUTED, every connection is silent, also one that is opened later.  A
   request that came while it was gets no answer afterwards either.  */
void sv_set_muted (struct sv_server *sv, int muted);
/* Waits up to TIMEOUT_MS for the requests in progress to end.  Returns how
   many are still in progress.  */
int sv_drain (struct sv_server *sv, int timeout_ms);
/* Prints "listening IP:PORT", which the scripts that start the program
   parse.  */
void sv_announce (const struct sv_server *sv);

/* The next two return a header or query parameter, or NULL.  The text is valid
   during the request.  */
const char *sv_header (const struct sv_request *request, const char *name);
const char *sv_query (const struct sv_request *request, const char *name);
/* Returns a query parameter as a number, or ABSENT without it.  */
int64_t sv_query_int (const struct sv_request *request, const char *name,
                      int64_t absent);
/* Writes the local IP address of the connection, without the port, to OUT.  */
void sv_local_ip (const struct sv_request *request, char out[SV_ADDRESS]);
/* Sets the reply to STATUS with the body {"error": TEXT}.  */
void sv_set_error (struct sv_reply *reply, int status, const char *text);
/* Returns the part of PATH after PREFIX, or NULL when PATH does not start with
   it.  */
const char *sv_strip_prefix (const char *path, const char *prefix);

#endif
