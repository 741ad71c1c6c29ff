/* What the product asks of the platform it runs on: a store of rows, orders
   to workers, and the form of callers' requests.  platform/ implements it;
   tests link their own.  Each call is asynchronous: it returns 0 when DONE
   will run exactly once, on the client's thread, or a po_error.  */
#ifndef SKR_PORT_H
#define SKR_PORT_H

#include "skr/http.h"
#include "skr/queue.h"
#include "skr/steps.h"

enum po_error
{
  PO_EFULL = -341, /* too many calls in progress */
  PO_EINVAL = -342 /* bytes that can't be read */
};

/* Holds the client; made by the caller.  */
struct po_port
{
  struct hc_client *client;
  const char *store; /* "IP:PORT" */
};

/* Store.  */

enum po_result
{
  PO_DONE,
  PO_CONFLICT,  /* a condition did not hold; ROW has the present rows */
  PO_FORGOTTEN, /* the history asked for is gone: read the table whole */
  PO_NOT_DONE,  /* refused: nothing was done */
  PO_UNKNOWN    /* no answer: may have been done, or may be done later */
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
  long status;      /* HTTP status, 0 without an answer */
  int64_t version;  /* newest of the store when it answered */
  int64_t store_ms; /* its steady clock; 0 unknown */
  int more;         /* rows are left; go on behind the last key */
  int count;
  struct po_row *row;
  int64_t took_ms;
};

/* Takes ROWS over; free them by po_rows_free.  */
typedef void po_rows_done (void *arg, struct po_rows *rows);
void po_rows_free (struct po_rows *rows);

/* Rows of TABLE in key order from key FROM up to key TO, without it ("": to
   the end).  */
int po_read (struct po_port *port, const char *table, const char *from,
             const char *to, int timeout_ms, po_rows_done *done, void *arg);
/* Rows of TABLE that changed after version AFTER; waits up to WAIT_MS for
   one.  */
int po_follow (struct po_port *port, const char *table, int64_t after,
               int wait_ms, int timeout_ms, po_rows_done *done, void *arg);

enum po_entry_kind
{
  PO_EXPECT, /* the row has VERSION; 0: it does not exist */
  PO_PUT,
  PO_DROP
};

enum
{
  PO_MAX_ENTRIES = 100 /* of one transaction; the store's limit */
};

struct po_entry
{
  enum po_entry_kind kind;
  const char *table, *key, *value;
  int64_t version;
};

/* All entries or none.  */
int po_write (struct po_port *port, const struct po_entry *entry, int count,
              int timeout_ms, po_rows_done *done, void *arg);

/* Names of the tables that the platform keeps, and the row of its
   configuration.  */
const char *po_config_table (void);
int po_is_config (const struct po_row *row);
const char *po_worker_table (void);
/* The configuration in VALUE, or NULL with *REASON.  */
struct qu_config *po_config_read (const char *value, const char **reason);

/* Workers.  */

struct po_worker
{
  char *id, *address; /* "IP:PORT" */
  char *service, *kind, *rack;
  struct sj_need capacity;
  int draining;
  int64_t remaining_ms; /* while draining: the least time left */
  int64_t life;         /* when the incarnation began; 0 unknown */
};

/* NULL with *REASON when the row names no worker that can be used.  */
struct po_worker *po_worker_read (const struct po_row *row,
                                  const char **reason);
void po_worker_free (struct po_worker *worker);

/* Whom an order goes to, and with which authority.  */
struct po_target
{
  const char *address, *id;
  int64_t token; /* the worker refuses a lower one than it has seen */
};

struct po_order_answer
{
  enum sj_answer answer;
  int fenced;       /* a higher token was seen there */
  long status;      /* HTTP status, 0 without an answer */
  char reason[24];  /* the worker's word, or "" */
  int64_t clock_ms; /* the worker's steady clock; 0 unknown */
  int64_t took_ms;
};

typedef void po_order_done (void *arg, const struct po_order_answer *answer);

/* UNTIL_MS, on the worker's clock: later the start is refused, and what
   runs there may run until then.  */
int po_start (struct po_port *port, const struct po_target *target,
              const struct sj_order *order, int64_t until_ms, int timeout_ms,
              po_order_done *done, void *arg);
int po_stop (struct po_port *port, const struct po_target *target,
             const struct sj_run *run, int timeout_ms, po_order_done *done,
             void *arg);

struct po_listing
{
  struct po_order_answer answer;
  int64_t life;
  struct sj_listing list;
  int64_t last_end; /* number of the last end listed; 0 none */
  int unread;       /* entries that could not be read */
  void *memory;     /* backs LIST */
};

typedef void po_listing_done (void *arg, struct po_listing *listing);
void po_listing_free (struct po_listing *listing);

/* Renews the lease of all that runs there up to UNTIL_MS (0: not), lets the
   worker forget ends up to SEEN, and lists.  Waits up to WAIT_MS for an
   end.  */
int po_hold (struct po_port *port, const struct po_target *target,
             int64_t seen, int64_t until_ms, int wait_ms, int timeout_ms,
             po_listing_done *done, void *arg);

/* Callers.  */

enum po_call
{
  PO_SUBMIT,
  PO_STATE,
  PO_CANCEL,
  PO_COUNT,     /* jobs that wait in a queue */
  PO_NO_METHOD, /* the path is right, the method is not */
  PO_NO_PATH
};

/* REST is the path behind the queue's prefix.  */
enum po_call po_call_of (const char *method, const char *rest);
/* The key in an Authorization header, or NULL.  */
const char *po_key_of (const char *authorization);
/* The job of a request's body for queue and account, or NULL with
 *REASON.  */
struct sj_job *po_job_read (const char *id, const char *body,
                            const struct qu_queue *queue, const char *account,
                            const char **reason);
/* Writes an answer's body to OUT of SIZE bytes.  */
void po_state_body (char *out, int size, enum sj_state state);
void po_count_body (char *out, int size, int waiting);
/* Header with the milliseconds that the caller waits for an answer.  */
const char *po_deadline_header (void);
/* Path of the platform's question whether this VM takes connections.  */
int po_is_ready_path (const char *path);

#endif
