/* HTTP server of the stand-ins: one thread for each connection, so that a
   handler may wait, and connections that go silent on demand.  */
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
  int *counted;     /* kept with the connection, 0 at first */
};

/* One of JSON and RAW is the body; both are freed by the server.  */
struct sv_reply
{
  int status;
  int close; /* close the connection without an answer */
  int retry_after_s;
  json_t *json;
  char *raw;
  size_t raw_size; /* bytes */
};

/* Runs on the connection's thread; may wait.  */
typedef void sv_handle (void *arg, const struct sv_request *request,
                        struct sv_reply *reply);
/* A connection on which *COUNTED was set has ended.  */
typedef void sv_closed (void *arg);

struct sv_server
{
  void *daemon;
  sv_handle *handle;
  sv_closed *closed; /* may be NULL */
  void *arg;
  atomic_int silent_below; /* connections numbered lower get no answer */
  atomic_int next_number;
  atomic_int busy;     /* requests in progress */
  atomic_int silenced; /* requests that got no answer for that reason */
  atomic_int stopping;
  atomic_long bytes_in, bytes_out; /* bodies, without administration */
  char address[SV_ADDRESS];
};

/* Binds LISTEN, "IP:PORT" with port 0 for a free one, and serves.  */
int sv_init (struct sv_server *sv, const char *listen, sv_handle *handle,
             sv_closed *closed, void *arg);
/* Ends the connections and the threads.  */
void sv_fini (struct sv_server *sv);
/* From now on every connection now open gets no answer any more.  */
void sv_silence (struct sv_server *sv);
/* Waits up to TIMEOUT_MS for the requests in progress to end.  Returns how
   many are left.  */
int sv_drain (struct sv_server *sv, int timeout_ms);
/* Prints "listening IP:PORT" for the scripts that started the program.  */
void sv_announce (const struct sv_server *sv);

const char *sv_header (const struct sv_request *request, const char *name);
const char *sv_query (const struct sv_request *request, const char *name);
int64_t sv_query_int (const struct sv_request *request, const char *name,
                      int64_t absent);
/* Address without port at which the connection arrived.  */
void sv_local_ip (const struct sv_request *request, char out[SV_ADDRESS]);
/* Answers STATUS with {"error": TEXT}.  */
void sv_fail (struct sv_reply *reply, int status, const char *text);
/* The rest of PATH after PREFIX, or NULL.  */
const char *sv_after (const char *path, const char *prefix);

#endif
