/* HTTP client over libcurl with one thread of its own.  Each answer states
   whether the request may have had an effect.  A request is sent once, but for
   a GET, which is sent again when a reused connection breaks.  */
#ifndef SKR_HTTP_H
#define SKR_HTTP_H

#include <stddef.h>
#include <stdint.h>

enum hc_error
{
  HC_OK = 0,
  HC_EINVAL = -301,
  HC_ENOMEM = -302,
  HC_EFULL = -303,  /* too many requests in progress */
  HC_ECLOSED = -304 /* hc_free has been called */
};

/* Outcome of a request.  */
enum hc_outcome
{
  HC_ANSWERED, /* a complete answer was received */
  HC_NOT_SENT, /* no byte was sent; the request had no effect */
  HC_LOST      /* sent without a complete answer; the effect is unknown */
};

struct hc_answer
{
  enum hc_outcome outcome;
  long status;        /* HTTP status when answered */
  long retry_after_s; /* from the answer, 0 without one */
  const char *body;   /* NUL-terminated; valid during the callback */
  size_t body_size;   /* bytes */
  const char *reason; /* why there is no answer; valid like BODY */
  int sends;          /* how often curl began to send the request */
  int64_t duration_ms;
};

/* Called on the client's thread exactly once for each accepted request; must
   not block.  */
typedef void hc_done (void *arg, const struct hc_answer *answer);

enum
{
  HC_MAX_HEADERS = 8,
  HC_MAX_BODY = 4 << 20 /* bytes of an answer; a longer one gives HC_LOST */
};

struct hc_request
{
  const char *method; /* "GET", "POST", "PUT", "DELETE" */
  const char *url;
  const char *body;                   /* NULL for none; copied */
  const char *header[HC_MAX_HEADERS]; /* "Name: value"; NULL-ended; copied */
  int timeout_ms;                     /* for the whole exchange */
  int connect_timeout_ms;             /* 0: the client's default */
  int new_connection; /* use a new connection, because an open one may be stale
                or silent */
  int64_t send_until_ms; /* time of bs_clock_boot from which on the request is
                            not sent any more; 0: none */
  hc_done *done;
  void *arg;
};

struct hc_client; /* opaque; hc_new and hc_free */

struct hc_config
{
  int max_in_progress; /* requests */
  int connections_per_host;
  int connect_timeout_ms;
  const char *ca; /* file of the TLS authority to trust; NULL: the system's */
};

/* Starts the thread.  Returns NULL when memory or a thread cannot be
   allocated.  */
struct hc_client *hc_new (const struct hc_config *config);
/* Ends every request in progress with HC_NOT_SENT or HC_LOST, then stops the
   thread and frees HC.  HC may be NULL.  */
void hc_free (struct hc_client *hc);
/* Copies and queues REQUEST; may be called from any thread.  Returns 0 or an
   hc_error; DONE is called only when 0 is returned.  */
int hc_submit (struct hc_client *hc, const struct hc_request *request);
/* Like hc_submit, but blocks until the request has ended.  Copies up to
   SIZE - 1 bytes of the body to BUF, to which ANSWER->body points.  */
int hc_call (struct hc_client *hc, const struct hc_request *request,
             struct hc_answer *answer, char *buf, size_t size);
/* Totals since the client was created; bytes include headers.  The processor
   time is that of the client's thread, up to a second old.  */
struct hc_counts
{
  int64_t requests, bytes_out, bytes_in, cpu_us;
};
void hc_count (struct hc_client *hc, struct hc_counts *counts);
/* For how long the thread has had more sockets ready than it handles at a
   time; 0: it keeps up.  The answers are read that much later, through no
   fault of the servers.  */
int64_t hc_backlog_ms (struct hc_client *hc);
const char *hc_strerror (int error);

#endif
