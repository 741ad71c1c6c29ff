/* skr-batch: one process on each entry VM.  It accepts client requests about
   jobs of steps, follows the tables of the store, and schedules the jobs on
   the workers while it holds the lease.

   One loop thread owns all state here.  The threads of the HTTP server and
   client pass it events over a bounded ring.  */
#ifndef SKR_BATCH_H
#define SKR_BATCH_H

#include <glib.h>
#include <stdatomic.h>

#include "batch/ack.h"
#include "batch/caller_queue.h"
#include "batch/lease.h"
#include "batch/order_queue.h"
#include "batch/relay.h"
#include "batch/view.h"
#include "skr/access.h"
#include "skr/base.h"
#include "skr/log.h"
#include "skr/port.h"
#include "skr/ring.h"
#include "skr/serve.h"
#include "skr/serve_watch.h"
#include "skr/stat.h"

/* Values of the flags of the same names; see main.c.  */
struct ba_settings
{
  const char *vm, *listen, *ready_listen, *metrics_listen, *store;
  const char *relay_listen; /* empty: no relay */
  const char *log_output, *settings;
  int64_t log_level, log_rate;
  int64_t hold_ms, far_factor, revoke_ms, grace_ms, keep_s;
  int64_t lease_ms, take_ms, renew_ms, evacuation_ms;
  int64_t max_tasks, record_pieces, max_connections, max_requests;
  int64_t refuse_stalled_writes, speed_aware;
  int64_t headroom_forecast, reclaim_ms, stop_ms, fair_share;
  double processor, checkpoint_interval_s;
};

enum
{
  BA_MAX_ACCOUNTS = 128, /* in the status and the gauges */
  BA_LISTENERS = 4       /* callers, readiness, metrics, relay */
};

/* Purpose of a call to the store.  */
enum ba_purpose
{
  BA_SCAN, /* a page of a full table scan */
  BA_POLL, /* changes of a table since a version */
  BA_LOAD_RECORDS,
  BA_LOAD_JOBS,
  BA_COMMIT,
  BA_SUBMIT,
  BA_LOOKUP,
  BA_CANCEL,
  BA_WITHDRAW, /* a cancellation of a job that is not known */
  BA_EXPIRE,   /* removes old withdrawals */
  BA_PROBE,    /* a write without effect; see access.c */
  BA_READ_PROBE,
  BA_PUBLISH /* the row for the relay */
};

struct ba_table_follower;
struct ba_pending;

/* A call to the store that has no reply yet.  */
struct ba_store_call
{
  struct batch *b;
  enum ba_purpose purpose;
  int64_t sent_ms;
  int serial; /* the term or the follower's SERIAL when sent; shows whether the
                 reply is outdated */
  int wait_ms; /* of a long poll */
  struct ba_table_follower *follower;
  struct ba_pending *pending; /* NULL if it was answered meanwhile */
};

/* Events that other threads pass to the loop thread.  */
enum ba_event_kind
{
  BA_STORE_REPLY,
  BA_CLIENT_REQUEST,
  BA_STATUS_REQUEST, /* of an operator */
  BA_ORDER_REPLY,
  BA_WORKER_LISTING,
  BA_RELAY_REPLY
};

/* A start, stop or hold that waits to be sent to a worker or has no reply
   yet.  */
struct ba_order
{
  struct batch *b;
  int term; /* in which it was sent */
  enum sj_order_kind kind;
  enum oq_class class; /* of a start or stop */
  char *worker;
  struct sj_run run;
  enum sj_cause cause;
  int64_t sent_ms;
  int64_t token; /* fencing token it was last sent with; 0: not sent */
  /* Only of a start, which may be sent again.  */
  char *payload, *checkpoint;
  int64_t expires_ms;   /* on the worker's clock */
  int tries;            /* 0: not sent */
  int is_long_poll;     /* of a hold */
  int64_t start_serial; /* of a hold, for ak_listed */
  int is_pending; /* of a start: its worker counts it as without an outcome */
  int is_sent;    /* of a start or stop: it was sent to the worker */
  int target_serial; /* of the worker when it was sent; 0: not sent */
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
    struct rl_call *relayed;
    struct
    {
      struct ba_order *order;
      struct po_order_answer answer;
    } order;
    struct
    {
      struct ba_order *order; /* the hold; names its worker and sending time */
      struct po_listing *listing;
    } listing;
  } u;
};

/* Follows one table: scans it once, then polls for changes.  */
struct ba_table_follower
{
  struct batch *b;
  const char *table;
  int wait_ms; /* of one long poll */
  int gap_ms;  /* from a reply to the next request */
  int enabled;
  int in_flight; /* requests sent; replies with an old SERIAL are ignored */
  int serial;
  int synced;        /* a full scan has ended; changes are polled for */
  char next_key[64]; /* where the scan continues */
  int64_t after_version, scan_version, next_ms;
  int64_t fresh_ms; /* the known rows were current at this time */
  int failures;     /* requests without a valid reply in a row */
  int generation; /* number of the full scan; rows that it does not return were
                     deleted */
  void (*on_row) (struct batch *b, const struct po_row *row, int generation);
  void (*on_synced) (struct batch *b, int generation); /* NULL: not called */
  void (*on_progress) (struct batch *b,
                       int64_t version); /* NULL: not called */
};

/* A worker as the lease holder knows it.  Ends of runs are numbered by the
   worker; 0 means none.  */
struct ba_worker
{
  char *id, *address;
  int64_t incarnation;
  int target_serial;   /* counts its incarnations and addresses */
  int64_t least_token; /* orders to an earlier incarnation had lower ones */
  int generation;      /* of the last full scan that listed it */
  int64_t clock_ms, clock_at_ms; /* its clock, and when that was received */
  struct ak_ends ends;
  int hold_in_flight;
  int runs_known;  /* listed its runs since it restarted or was listed */
  int listed;      /* in the worker table */
  int failures;    /* requests without an answer in a row */
  int replaced;    /* another worker answers at its address */
  int probes_left; /* polls left that find out whether one does */
  int draining;
  int is_paused; /* gets no starts until its ends are acknowledged */
  int64_t next_hold_ms, hold_sent_ms;
};

/* Role of this VM.  */
enum ba_phase
{
  BA_STANDBY, /* another VM holds the lease, or none */
  BA_LOADING, /* this VM holds the lease; jobs are being loaded */
  BA_ACTIVE
};

/* Transactions of the lease holder, one at a time.  */
enum ba_commit_kind
{
  BA_COMMIT_ACQUIRE, /* writes the lease row with a higher epoch */
  BA_COMMIT_RECORDS, /* renews the lease and stores changed records */
  BA_COMMIT_RELEASE  /* clears the holder in the lease row */
};

enum
{
  BA_COMMIT_MAX_EXPIRED = 4 /* jobs deleted in one; four rows each */
};

/* The transaction that is being built or stored.  */
struct ba_commit
{
  int open;      /* built, and not known to be committed */
  int in_flight; /* sent, no reply yet */
  enum ba_commit_kind kind;
  GPtrArray *strings; /* owns the strings of the entries */
  struct po_entry entry[PO_MAX_ENTRIES];
  int entries;
  int64_t serial, next_ms, first_sent_ms;
  int tries;
  int records;                  /* among the entries */
  char last_record[SJ_ID_SIZE]; /* job of the last one of them */
  size_t last_bytes;            /* its size */
  /* Over several transactions, after the store has refused one: */
  int max_records;          /* in the next one; 0: no limit */
  char suspect[SJ_ID_SIZE]; /* job whose record alone was refused, or "" */
  long refused_status;      /* HTTP status of the last refusal */
};

enum
{
  BA_EVENT_KINDS = BA_RELAY_REPLY + 1
};

/* Where the loop's time went since the last tick.  */
struct ba_loop_times
{
  int events;
  int64_t ms[BA_EVENT_KINDS]; /* by kind of event */
};

/* Totals of the process, and the longest waits of an interval.  */
struct ba_totals
{
  int64_t at_ms, process_us, loop_us, client_us;
  int64_t event_ms[BA_EVENT_KINDS], polls_ms, decide_ms;
  int64_t holds, starts, stops, ends, requests, rounds;
};
struct ba_usage
{
  struct ba_totals now, noted; /* noted: at the last log lines */
  int64_t order_wait_ms, commit_ms, backlog_ms;
};

/* Series of the metrics registry; SHARD is the loop thread's.  */
struct ba_counters
{
  int shard;
  int answers, submits, accepted, refused, unknown, withdrawals;
  int starts, stops, ends, lost_runs, given_up_tasks, passed_over_jobs,
      commits, store_calls, holds;
  int probes, stalled_refusals, early_unknown;
  int relayed, relay_unknown, relay_not_run, relay_received;
  int aside_records, aside_jobs, refused_commits;
  int crashes_in_a_row, suspended_jobs;
  int reads_state, writes_state;
  int stopped_runs[SJ_CAUSES]; /* by cause */
  int lost_core_ms, preemptions, preemptions_avoided;
  int headroom_kept, headroom_used;
  int store_wait, commit_duration;
  int accounts_over, accounts_waiting;
  int waiting_jobs, waiting_orders, waiting_requests, runs, accelerators_used,
      usable_workers, is_holder, closed_domains, closed_workers;
  int slow_kept, fast_waits;
  int fast_workers, medium_workers, slow_workers, unknown_workers;
};

struct batch
{
  const struct ba_settings *settings;
  struct bs_clock clock;
  int64_t now_ms;         /* steady clock at the current event or tick */
  int64_t wall_offset_ms; /* from the steady clock to the time of day */
  int64_t wall_seen_ms;   /* when the offset was last confirmed */
  struct rg_ring events;
  struct cq_queue requests; /* of callers, out of EVENTS */
  struct hc_client *client;
  struct po_port port;
  /* For callers' requests and probes: with connections of its own, unless the
     access to the store is not tracked.  */
  struct po_port entry_port;
  struct hs_server *caller_server, *ready_server, *metrics_server;
  struct sw_watch watch[BA_LISTENERS];
  struct bs_thread thread;
  atomic_int ready, stop_requested;
  atomic_int closed; /* the loop accepts no more events */
  char token[33];    /* names this incarnation of the process */

  struct qu_config *config;
  struct ba_table_follower config_follower, job_follower, worker_follower;
  struct dm_domains domains; /* closed ones; empty unless they are served */
  struct ba_table_follower vm_follower; /* only with a relay */
  struct rl_relay relay;
  struct vw_view view;
  int store_down;
  long store_error_status; /* HTTP status of the last reply if the call failed,
                              else 0 */
  int64_t store_heard_ms, store_clock_ms, store_clock_at_ms;
  struct ac_access access;
  GPtrArray *pending; /* of struct ba_pending */

  struct le_lease lease;
  struct le_end last_end; /* of any holder */
  int64_t step_ms;        /* when its rules change next; 0: never */
  int reload_wanted;      /* the term is to end, for one that loads all jobs */
  enum ba_phase phase;
  int term; /* counts both starts and ends of terms as holder, so that replies
               to calls from before are recognized */
  struct sj_cluster *cluster;
  GHashTable *workers;    /* id -> struct ba_worker */
  GHashTable *by_address; /* the latest struct ba_worker at each address */
  struct oq_queue orders; /* struct ba_order, starts and stops */
  int starts_held;        /* the worker table is too old */
  int evacuations_held;   /* the requests are not confirmed recently enough */
  int surveys;            /* holds in progress that are no long polls */
  int busy_workers;       /* at the last update of the counters */
  GHashTable *records;    /* id -> json_t, while loading */
  GHashTable *versions;   /* id -> version of its latest row, likewise */
  GPtrArray *loaded;      /* struct sj_job, while loading */
  char load_next_key[64];
  enum ba_purpose load_purpose;
  int load_in_flight;
  int64_t term_began_ms, next_load_ms, acquire_at_ms;
  int64_t no_attempt_before_ms; /* to acquire the lease */
  int64_t next_expiry_ms;       /* of withdrawals */
  int64_t jobs_seen_version;    /* job rows up to this version were handled */
  struct ba_commit commit;
  int is_closed_to_callers; /* new connections are refused */
  int64_t stopping_at_ms, counted_ms, ticked_ms, tick_took_ms;
  struct ba_loop_times times;
  struct ba_usage usage;

  struct st_registry stats;
  struct ba_counters counters;
};

/* loop.c */
/* Starts the servers and the loop thread.  SET must outlive B.  Returns 0 or a
   bs_error.  */
int ba_start (struct batch *b, const struct ba_settings *set);
/* Performs a planned stop and waits for the loop thread to end.  */
void ba_stop (struct batch *b);
/* Passes E to the loop thread and takes ownership of it.  An event that does
   not fit into the ring is refused.  Called on any thread.  */
void ba_push (struct batch *b, struct ba_event *e);

/* usage.c */
/* Logs what a holder's processor time went to since the last call.  COUNTS are
   the present ones.  */
void us_tick (struct batch *b, const struct sj_counts *counts);

/* stop.c: stages of a planned stop */
enum ba_stage
{
  BA_SERVE, /* serves as before but reports not ready, until the balancer
               notices */
  BA_DRAIN, /* closes each connection after its next answer */
  BA_END
};

/* Returns the stage SINCE_MS after the signal, with CONNECTIONS open.
   HOLDS_LEASE is 1 while this VM holds the lease, which must be released
   first.  */
enum ba_stage ba_stop_stage (int64_t since_ms, int64_t grace_ms,
                             int connections, int holds_lease);

/* store.c */
/* Returns a new call, counted and stamped with the current time and term, to
   be released with g_free.  */
struct ba_store_call *ba_new_store_call (struct batch *b,
                                         enum ba_purpose purpose);
/* Passes the reply to the loop thread; ARG is the struct ba_store_call.  */
void ba_on_store_reply (void *arg, struct po_rows *rows);
/* Updates the store's availability and clock from a reply.  A refusal or a
   missing reply does not show that the store is available.  */
void ba_note_store_reply (struct batch *b, const struct po_rows *rows);
/* Stores in FROM the key at which a scan of a table continues after ROWS.
   Returns 0 if ROWS are the last.  */
int ba_next_key (char from[64], const struct po_rows *rows);
/* Logs a row whose value cannot be parsed.  */
void ba_log_unreadable_row (const char *table, const char *key);
/* Marks the store as unavailable once it has sent no valid reply for too
   long.  */
void ba_check_store_timeout (struct batch *b);
/* Returns the store's clock now in milliseconds, or 0 if it is not known
   yet.  */
int64_t ba_store_clock_now_ms (const struct batch *b);

/* access.c: this VM's access to the store; tracked only while a setting uses
   it */
int ba_tracks_access (const struct batch *b);
/* Returns 1 if new writes are refused because the store does not answer
   writes.  */
int ba_refuses_writes (const struct batch *b);
/* Returns 1 if another VM may be able to serve a write, or a read, that this
   one can't.  */
int ba_relays_writes (const struct batch *b);
int ba_relays_reads (const struct batch *b);
/* Notes that CALL was sent, or its reply.  */
void ba_note_sent (struct batch *b, const struct ba_store_call *call);
void ba_note_reply (struct batch *b, const struct ba_store_call *call,
                    enum po_result result);
/* Notes a row that a VM has just written.  */
void ba_note_write_seen (struct batch *b);
/* Updates the states and sends a probe if it is due.  */
void ba_access_tick (struct batch *b);
/* Returns after how many seconds the refused caller of job ID should
   return.  */
int ba_retry_after_s (struct batch *b, const char *id, const char *call);

/* follow.c */
/* Sets F up to follow TABLE with polls of WAIT_MS, GAP_MS after each reply,
   once it is started.  */
void fo_init (struct batch *b, struct ba_table_follower *f, const char *table,
              int wait_ms, int gap_ms);
/* Starts a new full scan.  */
void fo_start (struct ba_table_follower *f);
/* Stops following; a reply to the request in flight is ignored.  */
void fo_stop (struct ba_table_follower *f);
/* Abandons the request in flight, if any, and sends a new one.  */
void fo_resend (struct ba_table_follower *f);
/* Sends the next request if it is due.  */
void fo_tick (struct ba_table_follower *f);
/* Handles the reply to CALL; the caller frees both.  */
void fo_on_reply (struct ba_table_follower *f, struct ba_store_call *call,
                  struct po_rows *rows);

/* tables.c: handles the rows of the followed tables */
/* Sets up the followers and starts those of configuration and jobs.  */
void ta_init (struct batch *b);
/* Sets the poll interval of the job table for the current phase.  */
void ta_set_poll_gap (struct batch *b);
/* Holds starts while the worker table or the requests to evacuate a domain
   are not known to be recent.  */
void ta_check_starts (struct batch *b);
/* Passes the accounts' guarantees to the scheduler, if there is one.  */
void ba_apply_guarantees (struct batch *b);
/* Returns 1 while the configuration is recent enough that a revoked key is
   not accepted for too long.  */
int ba_config_is_fresh (const struct batch *b);

/* evacuate.c: closed failure domains */
/* Whether requests to evacuate a domain are served.  */
int ev_is_served (const struct batch *b);
/* Handles the row of a request; OP is what it means.  */
void ev_on_row (struct batch *b, const struct po_row *row,
                const struct po_operator_row *op, int generation);
/* Reopens the domains whose requests the full scan GENERATION did not see. */
void ev_on_synced (struct batch *b, int generation);
/* Whether the requests are known, so that this VM may become holder.  */
int ev_is_known (const struct batch *b);
/* Milliseconds from now within which a start must be executed, at most
   MAX_MS; 0: none may be sent, as a request may have been missed.  */
int64_t ev_start_limit_ms (const struct batch *b, int64_t max_ms);
/* Returns 1 while starts must be held, and logs when that changes.  */
int ev_check_starts (struct batch *b);
/* Logs the closed domains at the start of a term.  */
void ev_log_term (struct batch *b);

/* show.c */
/* Return new references; sh_job returns NULL for a job that this VM does not
   know.  */
json_t *sh_status (const struct batch *b);
json_t *sh_job (const struct batch *b, const char *id);
/* Answers a status request, on the loop thread.  */
void sh_answer (struct batch *b, struct hs_exchange *ex);
/* Accepts a request for metrics or status, on the HTTP server's thread.  */
void sh_handle (void *arg, struct hs_exchange *ex);

/* front.c */
/* Accepts a client request, on the HTTP server's thread.  */
void fr_handle (void *arg, struct hs_exchange *ex);
/* Passes EX, which SERVER has received, to the loop, or refuses it.  */
void fr_enqueue (struct batch *b, struct hs_server *server,
                 struct hs_exchange *ex);
/* Reason of the refusal of a job whose id another account has used.  */
#define FR_ID_TAKEN "not run: this id can't be used"
/* Reason of the refusal of a job that was cancelled before it was known.  */
#define FR_WITHDRAWN "not run: cancelled before it was accepted"
/* Handles a client request, on the loop thread.  */
void fr_request (struct batch *b, struct hs_exchange *ex);
/* Answers a request for which nothing was done.  */
void fr_refuse (struct hs_exchange *ex, int status, const char *body);
/* Answers a client request, logs and counts it.  If BODY is NULL the body is
   an error with REASON.  */
void fr_answer (struct batch *b, struct hs_exchange *ex, const char *id,
                const char *call, int status, const char *body,
                const char *reason);
/* Like fr_answer, with a Retry-After of RETRY_AFTER_S if it is not 0.  */
void fr_answer_after (struct batch *b, struct hs_exchange *ex, const char *id,
                      const char *call, int status, const char *body,
                      const char *reason, int retry_after_s);
/* Handlers of the readiness and metrics requests, on the HTTP server's
   thread.  */
void fr_ready (void *arg, struct hs_exchange *ex);
void fr_metrics (void *arg, struct hs_exchange *ex);

/* pending.c: requests that wait for the store */
struct ba_pending
{
  struct batch *b;
  enum ba_purpose purpose;
  struct hs_exchange *ex;
  char id[SJ_ID_SIZE];
  char *value; /* of the row to write; of a withdrawal: NULL */
  char *queue, *account;
  int64_t began_ms, deadline_ms, next_ms;
  int64_t version; /* of the job's row, which the write expects */
  int in_flight, may_be_done, cancel_after_lookup;
  struct ba_store_call *call; /* while in flight */
};

/* Start a pending request, which is given up after WAIT_MS.  pe_submit takes
   ownership of JOB.  With CANCEL a job that the lookup finds is cancelled, and
   if there is none its later submission is kept from being stored.  */
void pe_submit (struct batch *b, struct hs_exchange *ex, struct sj_job *job,
                int wait_ms);
void pe_lookup (struct batch *b, struct hs_exchange *ex, const char *id,
                const char *account, int cancel, int wait_ms);
void pe_cancel (struct batch *b, struct hs_exchange *ex,
                const struct vw_job *job, const char *account, int wait_ms);
/* Returns 1 if ACCOUNT, NULL without a key, has cancelled ID before a job with
   it was known.  */
int pe_is_withdrawn (const struct batch *b, const char *id,
                     const char *account);
/* Handles a reply of the store, which the caller frees.  */
void pe_on_reply (struct ba_pending *p, struct po_rows *rows);
/* Sends retries that are due and gives up requests whose time is over.  */
void pe_tick (struct batch *b);
/* Answers all pending requests as unknown or not run.  */
void pe_fail_all (struct batch *b);
void pe_free (void *pending);

/* withdrawal_expiry.c */
/* Removes old withdrawals from the store while this VM holds the lease.  */
void wx_tick (struct batch *b);
/* Handles the store's reply to that.  */
void wx_on_reply (struct batch *b, const struct po_rows *rows);

/* holder.c, commit.c, load.c */
/* Drives the current phase: acquires or renews the lease, loads, decides and
   commits.  */
void ho_tick (struct batch *b);
/* Handle a reply of the store; the caller frees CALL and ROWS.  */
void ho_on_load_reply (struct batch *b, struct ba_store_call *call,
                       struct po_rows *rows);
void ho_on_commit_reply (struct batch *b, struct ba_store_call *call,
                         struct po_rows *rows);
/* Records that all rows of the job table up to VERSION were delivered.  */
void ho_on_job_progress (struct batch *b, int64_t version);
/* Handles a row of the job table while this VM holds the lease.  */
void ho_on_job_row (struct batch *b, const struct po_row *row);
/* Ends the term, if there is one, and logs REASON.  */
void ho_step_down (struct batch *b, const char *reason);

/* note.c */
/* Logs and counts what the scheduler notes; ARG is the struct batch.  */
void ba_on_note (void *arg, const struct sj_note *note);

/* workers.c, orders.c, worker_hold.c */
/* Set up and free the tables of workers of a term.  */
void wk_init_workers (struct batch *b);
void wk_fini_workers (struct batch *b);
/* Sets up the order queue of B.  */
void wk_init_orders (struct batch *b);
/* Drops the orders that wait at the end of a term.  */
void wk_clear_orders (struct batch *b);
/* Sends ORDER to its worker, or queues it while too many are in progress; ARG
   is the struct batch.  Called by the scheduler.  */
void wk_send_order (void *arg, const struct sj_order *order);
/* Handles a row of the worker table.  */
void wk_on_row (struct batch *b, const struct po_row *row, int generation);
/* Removes workers that the full scan GENERATION did not see.  */
void wk_on_synced (struct batch *b, int generation);
/* Sends the holds that are due.  */
void wk_tick (struct batch *b);
/* Takes ownership of ORDER.  */
void wk_on_order_reply (struct batch *b, struct ba_order *order,
                        const struct po_order_answer *answer);
/* Handles the reply to a hold; the caller frees ORDER and LISTING.  */
void wk_on_listing (struct batch *b, struct ba_order *order,
                    struct po_listing *listing);
/* Ends whose records are stored may be acknowledged.  Called after each
   commit.  */
void wk_note_stored (struct batch *b);
/* A job is set aside: the ends that were received are acknowledged once a
   later listing shows that none of them is of such a job.  */
void wk_hold_ends (struct batch *b);
/* Longest lease that a holder with these settings grants a worker.  */
int64_t wk_max_lease_ms (const struct ba_settings *set);
void wk_free_order (struct ba_order *order);

/* counters.c */
/* Registers all series.  Returns BS_OK or BS_ENOMEM.  */
int co_init (struct batch *b);
/* Adds N to the counter SERIES.  */
void co_add (struct batch *b, int series, int64_t n);
/* Updates the gauges and fills COUNTS, with zeros on a VM that does not hold
   the lease.  */
void co_tick (struct batch *b, struct sj_counts *counts);

#endif
