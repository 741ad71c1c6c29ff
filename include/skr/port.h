/* Interface to the platform: a transactional store of rows, orders to
   workers, and the format of callers' requests.  platform/ implements it;
   tests link their own implementation.  Functions that take DONE are
   asynchronous: they return 0 when DONE will be called exactly once, on the
   client's thread, or a po_error.  */
#ifndef SKR_PORT_H
#define SKR_PORT_H

#include "skr/http.h"
#include "skr/queue.h"
#include "skr/steps.h"

enum po_error
{
  PO_EFULL = -341, /* too many calls in progress */
  PO_EINVAL = -342 /* malformed data */
};

/* Connection to the platform, filled in by the caller, who owns CLIENT and
   STORE.  */
struct po_port
{
  struct hc_client *client;
  const char *store; /* "IP:PORT" */
};

/* Store.  */

enum po_result
{
  PO_DONE,
  PO_CONFLICT,     /* a PO_EXPECT did not hold; ROW has the current rows */
  PO_HISTORY_GONE, /* history was trimmed: read the whole table again */
  PO_NOT_DONE,     /* refused or not sent: nothing was executed */
  PO_REFUSED,      /* the same, and the call must not be repeated unchanged */
  PO_UNKNOWN       /* no usable answer: may be executed, now or later */
};

struct po_row
{
  char *table, *key;
  char *value;     /* NUL-terminated; "" when deleted */
  int64_t version; /* 0: absent */
  int deleted;
};

struct po_rows
{
  enum po_result result;
  long status;            /* HTTP status, 0 without an answer */
  int64_t version;        /* newest version of the store when it answered */
  int64_t store_clock_ms; /* monotonic clock of the store; 0: unknown */
  int has_more;           /* continue the read behind the last key */
  int count;
  struct po_row *row;
  int64_t took_ms; /* duration of the call */
};

/* The callee owns ROWS and frees them by po_rows_free.  */
typedef void po_rows_done (void *arg, struct po_rows *rows);
void po_rows_free (struct po_rows *rows);

/* Reads rows of TABLE in key order from key FROM, included, to key TO,
   excluded ("": to the end of the table).  */
int po_read (struct po_port *port, const char *table, const char *from,
             const char *to, int timeout_ms, po_rows_done *done, void *arg);
/* Reads the changes of TABLE after version AFTER; waits up to WAIT_MS for
   one.  */
int po_follow (struct po_port *port, const char *table, int64_t after,
               int wait_ms, int timeout_ms, po_rows_done *done, void *arg);

enum po_entry_kind
{
  PO_EXPECT, /* condition: the row has VERSION; 0: it does not exist */
  PO_PUT,
  PO_DELETE
};

enum
{
  PO_MAX_ENTRIES = 100,      /* per transaction, the store's limit */
  PO_MAX_VALUE_BYTES = 65536 /* of a row, likewise */
};

struct po_entry
{
  enum po_entry_kind kind;
  const char *table, *key, *value;
  int64_t version;
};

/* Applies all entries in one transaction, or none of them.  */
int po_write (struct po_port *port, const struct po_entry *entry, int count,
              int timeout_ms, po_rows_done *done, void *arg);

/* Formats in OUT, of SIZE bytes, an HTTP request that puts a row without a
   condition.  Allocates nothing, so that a signal handler may call it.  TABLE
   and KEY need no escapes.  Returns 0, or PO_EINVAL if it does not fit.  */
int po_format_put (char *out, size_t size, const char *store,
                   const char *table, const char *key, const char *value);

/* Names of the platform's own tables.  */
const char *po_config_table (void);
const char *po_worker_table (void);

/* Kinds of rows that operators write to the table po_config_table.  */
enum po_operator_kind
{
  PO_OPERATOR_CONFIG,
  PO_OPERATOR_EVACUATE,
  PO_OPERATOR_OTHER /* not known to this release */
};

struct po_operator_row
{
  enum po_operator_kind kind;
  union
  {
    /* The row's presence is the request, whatever its value.  */
    struct
    {
      const char *domain; /* a pointer into the row's key; may be "" */
      int value_is_valid; /* or the row is deleted */
    } evacuate;
  } u;
};

/* Returns what ROW means.  */
struct po_operator_row po_operator_read (const struct po_row *row);
/* Parses the configuration in VALUE.  The caller frees it by qu_free.  Returns
   NULL and sets *REASON, a static string, when VALUE is invalid.  */
struct qu_config *po_config_read (const char *value, const char **reason);

/* Workers.  */

struct po_worker
{
  char *id, *address; /* "IP:PORT" */
  char *service, *kind, *rack;
  char *domain; /* failure domain, or NULL */
  struct sj_resources capacity;
  int draining;
  int64_t remaining_ms;      /* while draining: minimum time left */
  int64_t cold_remaining_ms; /* time for which it is still slow; 0: warm */
  int64_t incarnation;       /* start of its incarnation; 0: unknown */
};

/* Parses a row of the worker table.  The caller frees the result by
   po_worker_free.  Returns NULL and sets *REASON, a static string, when the
   row is invalid.  */
struct po_worker *po_worker_read (const struct po_row *row,
                                  const char **reason);
void po_worker_free (struct po_worker *worker);

/* The worker that an order is sent to, the fencing token, and the end of the
   lease under which it is sent, on bs_clock_boot.  */
struct po_target
{
  const char *address, *id;
  int64_t token; /* a worker refuses tokens below the highest it saw */
  int64_t valid_until_ms;
};

struct po_order_answer
{
  enum sj_answer answer;
  int fenced;       /* refused: the worker has seen a higher token */
  int replaced;     /* refused: another worker answers at the address */
  long status;      /* HTTP status, 0 without an answer */
  char reason[24];  /* reason given by the worker, or "" */
  int64_t clock_ms; /* monotonic clock of the worker; 0: unknown */
  int sends;        /* times that the HTTP client began to send the order */
  int64_t took_ms;  /* duration of the call */
};

typedef void po_order_done (void *arg, const struct po_order_answer *answer);

/* Starts a run.  UNTIL_MS, on the worker's clock, is both the deadline after
   which the worker refuses the start and the end of its lease, up to which
   its runs may go on.  */
int po_start (struct po_port *port, const struct po_target *target,
              const struct sj_order *order, int64_t until_ms, int timeout_ms,
              po_order_done *done, void *arg);
/* Stops RUN, or makes the worker refuse its later start.  */
int po_stop (struct po_port *port, const struct po_target *target,
             const struct sj_run *run, int timeout_ms, po_order_done *done,
             void *arg);

struct po_listing
{
  struct po_order_answer answer;
  int64_t incarnation; /* start of the incarnation; 0: unknown */
  struct sj_listing list;
  int64_t last_end;     /* highest number of a listed end; 0: none */
  int unreadable_count; /* number of malformed entries, not in LIST */
  void *memory;         /* owns the strings that LIST points to */
};

/* The callee owns LISTING and frees it by po_listing_free.  */
typedef void po_listing_done (void *arg, struct po_listing *listing);
void po_listing_free (struct po_listing *listing);

/* Renews the lease of all runs on the worker to UNTIL_MS on its clock (0: does
   not renew), acknowledges ends up to number SEEN, and lists the runs and
   ends.  Waits up to WAIT_MS for an end.  */
int po_hold (struct po_port *port, const struct po_target *target,
             int64_t seen, int64_t until_ms, int wait_ms, int timeout_ms,
             po_listing_done *done, void *arg);

/* Callers.  */

enum po_call
{
  PO_SUBMIT,
  PO_STATE,
  PO_CANCEL,
  PO_COUNT_WAITING, /* number of jobs waiting in a queue */
  PO_NO_METHOD,     /* valid path, unsupported method */
  PO_NO_PATH        /* unknown path */
};

/* Determines the call of a request.  REST is the path behind the queue's
   prefix.  */
enum po_call po_parse_call (const char *method, const char *rest);
/* Returns the key in an Authorization header value, a pointer into it, or NULL
   when it is NULL or not of the Bearer scheme.  */
const char *po_parse_bearer_key (const char *authorization);
/* Parses the request body of a submission to QUEUE by ACCOUNT.  The caller
   frees the job by sj_job_free.  Returns NULL and sets *REASON when the job is
   invalid.  */
struct sj_job *po_job_read (const char *id, const char *body,
                            const struct qu_queue *queue, const char *account,
                            const char **reason);
/* Write the body of an answer to OUT, of SIZE bytes.  */
void po_state_body (char *out, int size, enum sj_state state);
void po_count_body (char *out, int size, int waiting);
/* Name of the header with the milliseconds that the caller still waits for an
   answer.  */
const char *po_deadline_header (void);
/* Whether PATH is that of the platform's readiness check.  */
int po_is_ready_path (const char *path);

#endif
