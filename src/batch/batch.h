/* skr-batch: one process on each entry VM.  It takes callers' requests about
   jobs of steps, follows the store's tables, and, while it holds the lease,
   schedules the jobs on the workers.

   One loop thread owns all state here.  The HTTP server's and client's
   threads hand it events over a bounded ring.  */
#ifndef SKR_BATCH_H
#define SKR_BATCH_H

#include <glib.h>
#include <stdatomic.h>

#include "batch/lease.h"
#include "batch/view.h"
#include "skr/base.h"
#include "skr/log.h"
#include "skr/port.h"
#include "skr/ring.h"
#include "skr/serve.h"
#include "skr/stat.h"

struct ba_settings
{
  const char *vm, *listen, *ready_listen, *metrics_listen, *store;
  const char *log_output, *settings;
  int64_t log_level, log_rate;
  int64_t hold_ms, far_factor, revoke_ms, grace_ms, keep_s;
  int64_t lease_ms, take_ms, renew_ms;
  int64_t max_requests;
  double processor;
};

/* Why rows were asked for.  */
enum ba_purpose
{
  BA_SCAN, /* a whole table, a page at a time */
  BA_POLL, /* what changed in a table */
  BA_LOAD_RECORDS,
  BA_LOAD_JOBS,
  BA_COMMIT,
  BA_SUBMIT,
  BA_LOOKUP,
  BA_CANCEL
};

struct ba_table_follower;
struct ba_pending;

struct ba_store_call
{
  struct batch *b;
  enum ba_purpose purpose;
  int64_t sent_ms;
  int serial;  /* of the holder's turn, for loads */
  int wait_ms; /* of a long wait */
  struct ba_table_follower *follower;
  struct ba_pending *pending;
};

enum ba_event_kind
{
  BA_STORE_REPLY,
  BA_CLIENT_REQUEST,
  BA_STATUS_REQUEST, /* an operator asks what is known */
  BA_ORDER_REPLY,
  BA_WORKER_LISTING
};

/* An order under way.  */
struct ba_order
{
  struct batch *b;
  int term; /* of the holder's turn */
  enum sj_order_kind kind;
  char *worker;
  struct sj_run run;
  enum sj_cause cause;
  int64_t sent_ms;
  /* Of a start, which may be sent again.  */
  char *payload, *checkpoint;
  int64_t expires_ms; /* on the worker's clock */
  int tries;
};

struct ba_event
{
  enum ba_event_kind kind;
  union
  {
    struct
    {
      struct ba_store_call *call;
      struct po_rows *rows;
    } reply;
    struct hs_exchange *request;
    struct
    {
      struct ba_order *order;
      struct po_order_answer answer;
    } order;
    struct
    {
      struct ba_order *order; /* names the worker and the time */
      struct po_listing *listing;
    } listing;
  } u;
};

/* Follows one table: reads it whole, then hears of changes.  */
struct ba_table_follower
{
  struct batch *b;
  const char *table;
  int wait_ms;   /* of one long wait */
  int gap_ms;    /* from an answer to the next question */
  int enabled;   /* wanted at all */
  int in_flight; /* questions asked; old ones are told by SERIAL */
  int serial;
  int synced;        /* a whole reading has ended; changes are followed */
  char next_key[64]; /* next key of the reading */
  int64_t after_version, scan_version, next_ms;
  int64_t fresh_ms; /* what is known was true at this time */
  int failures;     /* answers missing in a row */
  int generation;   /* of whole readings, to drop rows that are gone */
  void (*on_row) (struct batch *b, const struct po_row *row, int generation);
  void (*on_synced) (struct batch *b, int generation);    /* or NULL */
  void (*on_progress) (struct batch *b, int64_t version); /* or NULL */
};

/* A worker as the holder talks to it.  */
struct ba_worker
{
  char *id, *address;
  int64_t incarnation;
  int generation;
  int64_t clock_ms, clock_at_ms; /* its clock, and when that was heard */
  int64_t received_end;          /* last end taken in */
  int64_t committing_end;        /* last end in the records being stored */
  int64_t stored_end;            /* last end whose record is stored */
  int64_t acked_end;             /* last end that the worker was let forget */
  int hold_in_flight;            /* a hold is under way */
  int runs_known, listed, failures, draining;
  int64_t next_hold_ms, hold_sent_ms;
};

enum ba_phase
{
  BA_STANDBY, /* another VM holds the lease */
  BA_LOADING, /* the lease is ours; jobs are being read */
  BA_ACTIVE
};

/* What the holder writes; one transaction at a time.  */
enum ba_commit_kind
{
  BA_COMMIT_ACQUIRE, /* the lease row with a higher epoch */
  BA_COMMIT_RECORDS, /* a renewal, with the records that changed */
  BA_COMMIT_RELEASE  /* the lease row without a holder */
};

enum
{
  BA_COMMIT_MAX_JOBS = 40,  /* records in one transaction; two rows each */
  BA_COMMIT_MAX_EXPIRED = 4 /* jobs deleted in one; four rows each */
};

struct ba_commit
{
  int open;      /* built and not yet known to be done */
  int in_flight; /* sent and not answered */
  enum ba_commit_kind kind;
  GPtrArray *strings; /* backs the entries */
  struct po_entry entry[PO_MAX_ENTRIES];
  int entries;
  int64_t serial, next_ms, first_sent_ms;
  int tries;
};

struct ba_counters
{
  int shard;
  int answers, submits, accepted, refused, unknown;
  int starts, stops, ends, commits, store_calls, holds;
  int request_us, commit_us;
  int waiting_jobs, runs, accelerators_used, usable_workers, is_holder;
};

struct batch
{
  const struct ba_settings *settings;
  struct bs_clock clock;
  int64_t now, wall_offset_ms, wall_seen_ms;
  struct rg_ring events;
  struct hc_client *client;
  struct po_port port;
  struct hs_server *caller_server, *ready_server, *metrics_server;
  struct bs_thread thread;
  atomic_int ready, stop_requested;
  atomic_int closed; /* the loop takes no events any more */
  char token[33];    /* names this process's life */

  struct qu_config *config;
  struct ba_table_follower config_follower, job_follower, worker_follower;
  struct vw_view view;
  int store_down;
  long store_error_status; /* of the last answer that was not sound; 0: none */
  int64_t store_heard_ms, store_clock_ms, store_clock_at_ms;
  GPtrArray *pending; /* struct ba_pending */

  struct le_lease lease;
  enum ba_phase phase;
  int term; /* counts the times that this VM became the holder */
  struct sj_cluster *cluster;
  GHashTable *workers; /* id -> struct ba_worker */
  GHashTable *records; /* id -> json_t, while loading */
  GPtrArray *loaded;   /* struct sj_job, while loading */
  char load_next_key[64];
  enum ba_purpose load_purpose;
  int load_in_flight;
  int64_t next_load_ms, acquire_at_ms;
  int64_t
      jobs_seen_version; /* jobs stored up to this version were added before */
  struct ba_commit commit;
  int busy_workers; /* as of the last count */
  int64_t stopping_at_ms, counted_ms, ticked_ms, tick_took_ms;

  struct st_registry stats;
  struct ba_counters counters;
};

/* loop.c */
int ba_start (struct batch *b, const struct ba_settings *set);
void ba_stop (struct batch *b);
void ba_push (struct batch *b, struct ba_event *e);

/* stop.c: what a VM does since it was told to stop */
enum ba_stage
{
  BA_SERVE, /* as before, but no longer ready: the balancer notices */
  BA_DRAIN, /* connections end with their next answer */
  BA_END
};

/* SINCE_MS after the signal; CONNECTIONS are open, HOLDS the lease.  */
enum ba_stage ba_stop_stage (int64_t since_ms, int64_t grace_ms,
                             int connections, int holds);

/* ask.c */
struct ba_store_call *ba_new_store_call (struct batch *b,
                                         enum ba_purpose purpose);
void ba_on_store_reply (void *arg, struct po_rows *rows);
void ba_note_store_reply (struct batch *b, const struct po_rows *rows);
/* Where the reading of a table goes on behind ROWS; 0 when they were the
   last.  */
int ba_next_key (char from[64], const struct po_rows *rows);
void ba_log_unreadable_row (const char *table, const char *key);
/* Takes note when the store has been silent.  */
void ba_check_store_timeout (struct batch *b);
/* The store's clock now, in its milliseconds; 0 when it was never heard.  */
int64_t ba_store_clock_now_ms (const struct batch *b);

/* follow.c */
void fo_init (struct batch *b, struct ba_table_follower *f, const char *table,
              int wait_ms, int gap_ms);
void fo_start (struct ba_table_follower *f);
void fo_stop (struct ba_table_follower *f);
/* Gives the question under way up and asks anew.  */
void fo_resend (struct ba_table_follower *f);
void fo_tick (struct ba_table_follower *f);
void fo_on_reply (struct ba_table_follower *f, struct ba_store_call *call,
                  struct po_rows *rows);

/* tables.c: what is done with the rows of the followed tables */
void ta_init (struct batch *b);
void ta_set_poll_gap (struct batch *b);
void ba_apply_guarantees (struct batch *b);
/* Keys of callers are believed at all: the store was heard lately.  */
int ba_config_is_fresh (const struct batch *b);

/* show.c */
/* New references; NULL for a job that this VM does not know.  */
json_t *sh_status (const struct batch *b);
json_t *sh_job (const struct batch *b, const char *id);
void sh_answer (struct batch *b, struct hs_exchange *ex);
void sh_handle (void *arg, struct hs_exchange *ex);

/* front.c */
void fr_handle (void *arg, struct hs_exchange *ex);
void fr_request (struct batch *b, struct hs_exchange *ex);
/* For requests that nothing was done for.  */
void fr_refuse (struct hs_exchange *ex, int status, const char *body);
void fr_answer (struct batch *b, struct hs_exchange *ex, const char *id,
                const char *call, int status, const char *body,
                const char *reason);
void fr_ready (void *arg, struct hs_exchange *ex);
void fr_metrics (void *arg, struct hs_exchange *ex);

/* pending.c: requests that wait for the store */
struct ba_pending
{
  struct batch *b;
  enum ba_purpose purpose;
  struct hs_exchange *ex;
  char id[SJ_ID];
  char *value; /* of the row to write */
  char *queue, *account;
  int64_t began_ms, deadline_ms, next_ms;
  int64_t version; /* of the job's row, for a cancel */
  int in_flight, may_be_done, cancel_after_lookup;
};

void pe_submit (struct batch *b, struct hs_exchange *ex, struct sj_job *job,
                int wait_ms);
void pe_lookup (struct batch *b, struct hs_exchange *ex, const char *id,
                const char *account, int cancel, int wait_ms);
void pe_cancel (struct batch *b, struct hs_exchange *ex,
                const struct vw_job *job, int wait_ms);
void pe_on_reply (struct ba_pending *p, struct po_rows *rows);
void pe_tick (struct batch *b);
/* Answers all that still wait.  */
void pe_fail_all (struct batch *b);
void pe_free (void *pending);

/* holder.c, commit.c, load.c */
void ho_tick (struct batch *b);
void ho_on_load_reply (struct batch *b, struct ba_store_call *call,
                       struct po_rows *rows);
void ho_on_commit_reply (struct batch *b, struct ba_store_call *call,
                         struct po_rows *rows);
/* All rows of the job table up to VERSION were told.  */
void ho_on_job_progress (struct batch *b, int64_t version);
/* A row of the job table, while this VM is the holder.  */
void ho_on_job_row (struct batch *b, const struct po_row *row);
void ho_step_down (struct batch *b, const char *reason);

/* workers.c, orders.c, hold.c */
void wk_send_order (void *arg, const struct sj_order *order);
void wk_on_row (struct batch *b, const struct po_row *row, int generation);
void wk_on_synced (struct batch *b, int generation);
void wk_tick (struct batch *b);
/* Takes ORDER over.  */
void wk_on_order_reply (struct batch *b, struct ba_order *order,
                        const struct po_order_answer *answer);
void wk_on_listing (struct batch *b, struct ba_order *order,
                    struct po_listing *listing);
void wk_commit_begin (struct batch *b);
void wk_commit_end (struct batch *b, int ok);
void wk_free_order (struct ba_order *order);
void wk_free (void *worker);

/* count.c */
int co_init (struct batch *b);
void co_add (struct batch *b, int series, int64_t n);
void co_tick (struct batch *b);

#endif
