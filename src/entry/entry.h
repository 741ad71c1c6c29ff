/* skr-entry serves HTTP to callers and operators.  The HTTP server's threads
   pass each request to one core thread, which owns all state.  The HTTP
   client's thread and the peer network's thread pass their results to the
   core thread through the same bounded ring.  */
#ifndef ENTRY_H
#define ENTRY_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <stdatomic.h>

#include "filter/call.h"
#include "filter/chain.h"
#include "skr/base.h"
#include "skr/config.h"
#include "skr/http.h"
#include "skr/peer.h"
#include "skr/ring.h"
#include "skr/serve.h"
#include "skr/serve_watch.h"
#include "skr/stat.h"
#include "skr/table.h"
#include "skr/timer.h"
#include "skr/vms.h"

enum
{
  EN_TOKEN_SIZE = 33,          /* bytes of a token with its NUL */
  EN_INCARNATION_DIGITS = 16,  /* prefix of a token: names the process */
  EN_TICK_MS = 10,             /* period of deadline checks */
  EN_WATCH_MS = 1000,          /* period of looks at the HTTP server */
  EN_POLL_MS = 1000,           /* period of polls of the platform */
  EN_VMS_CHECK_MS = 100,       /* period of checks for a due VM list read */
  EN_KEY_CLEANUP_MS = 4000,    /* between two scans for expired key rows */
  EN_MAX_PEERS = 128,          /* daemons on other VMs */
  EN_PEER_TIMEOUT_MS = 5000,   /* a peer silent for longer is gone */
  EN_PEER_DISCOVERY_MS = 3000, /* after the start: time to hear each peer */
  EN_PEER_QUEUE_SIZE = 512,    /* peer messages queued for the core */
  EN_MAX_TABLE_FAILURES = 3,   /* consecutive: the table is down */
  EN_EVENTS_PER_REQUEST = 4,   /* results that one request can await */
  EN_MAX_WORKERS = 4096        /* workers in the VM list */
};

/* Steps of a call at which a test can suspend its request for good, to kill
   the process there.  */
enum en_fault_point
{
  EN_FAULT_NONE,
  EN_FAULT_BEFORE_CLAIM,
  EN_FAULT_AFTER_CLAIM,
  EN_FAULT_AFTER_DISPATCH,
  EN_FAULT_BEFORE_ANSWER
};

/* Command-line settings; each field is named after its setting.  */
struct en_settings
{
  const char *vm, *domain, *listen, *platform;
  const char *peer, *peers, *peer_keys;
  const char *operator_digest;
  const char *tls_cert, *tls_key;
  const char *log_output, *fault_point;
  int64_t log_level, http_threads, max_requests, max_body, connections;
  int64_t idle_s, table_timeout_ms, connect_timeout_ms, attempt_timeout_ms;
  int64_t late_ms, submit_timeout_ms, drain_ms, finish_ms;
  int64_t upstream_connections, spare_workers, keep_keys_h;
  int no_hedge;
};

enum en_event_kind
{
  EN_EV_HTTP,     /* a request arrived */
  EN_EV_TABLE,    /* a table operation ended */
  EN_EV_UPSTREAM, /* an attempt of a call ended */
  EN_EV_PEER      /* a message from a peer arrived */
};

/* What a table operation was started for.  */
enum en_table_purpose
{
  EN_TABLE_REQUEST_STEP, /* next step of a request */
  EN_TABLE_RECORD_END,   /* writes or reads the recorded end of a call */
  EN_TABLE_MARK_UNKNOWN, /* marks the claim of a VM that is gone */
  EN_TABLE_POLL_CONFIG,
  EN_TABLE_POLL_VMS,
  EN_TABLE_POLL_CELLS,
  EN_TABLE_POLL_JOBS,
  EN_TABLE_REPAIR_CONFIG,
  EN_TABLE_SCAN_KEYS,  /* reads key rows to find expired ones */
  EN_TABLE_DELETE_KEYS /* deletes expired key rows */
};

struct en_request;

struct en_event
{
  enum en_event_kind kind;
  struct en_request *req; /* NULL: an operation of the core itself */
  union
  {
    struct hs_exchange *ex;
    struct
    {
      enum en_table_purpose purpose;
      int error, is_commit;
      json_t *data; /* owned */
      int64_t took_us;
    } table;
    struct
    {
      int handle; /* of the upstream in the pool */
      enum fl_upstream_end end;
      enum fl_outcome outcome;
      json_t *answer; /* owned */
      int64_t took_us;
    } upstream;
    struct pr_message *peer; /* owned */
  } u;
};

struct en_call
{
  struct fl_call machine;
  int slot_upstream;  /* handle: its slot is held for the next dispatch */
  int avoid_upstream; /* handle: it had the previous attempt */
  /* Time when the wait for a slot began, then time spent in each phase.  */
  int64_t slot_wait_began_us, slot_wait_us, table_us, upstream_us;
  json_t *answer;      /* from the upstream or from the row */
  json_t *other_row;   /* row written by another attempt */
  int64_t row_version; /* of this attempt's row; 0: absent */
};

struct en_job
{
  struct fl_write write;
  char id[PR_ID_SIZE], cell[PR_ID_SIZE];
  int writing;           /* table results belong to WRITE, not to a read */
  int64_t row_version;   /* of the job's row */
  json_t *value;         /* last value read of a row */
  int64_t wait_until_ms; /* end of the caller's wait for a state change */
  int64_t poll_due_ms;   /* next read during that wait */
  int reading;           /* a read of the job's row is in progress */
  int moves_followed;    /* consecutive rows with "moved_to" */
};

/* Change of one configuration list.  */
struct en_list_change
{
  const char *name; /* CF_PLANS or CF_ALLOWANCES */
  int attempts;
  int write_unknown;       /* the reply to a commit was lost */
  int committing;          /* a commit is in progress, not a read */
  struct cf_reader reader; /* of the lists in the table */
};

/* One page of an account's list of jobs.  */
struct en_job_page
{
  json_t *jobs;
  char after[FL_MAX_ID + 1]; /* id of the last job read */
  int cell_index;            /* in the fleet: the cell being read */
  int limit, scans;          /* most jobs; scans done */
};

struct en_request
{
  struct hs_exchange *ex; /* NULL once answered */
  struct fl_request fr;   /* as the filter chain parsed it */
  char key[FL_MAX_ID + 1];
  char token[EN_TOKEN_SIZE]; /* unique; written to the request's row */
  int index;                 /* in the core's requests */
  int pending_results;       /* events to come for this request */
  int paused;                /* suspended for good at a fault point */
  int64_t began_us;
  union
  {
    struct en_call call;
    struct en_job job;
    struct en_list_change list;
    struct en_job_page page;
  } u;
};

/* A daemon on another VM.  */
struct en_peer
{
  char vm[PR_ID_SIZE], address[PR_ADDRESS_SIZE], domain[PR_ID_SIZE];
  int role, leaving;
  int64_t heard_ms, usage_ms; /* last heartbeat, last usage message */
  int64_t plans_version, allowances_version; /* in force at the peer */
  /* Usage by account handle; NULL before the first usage message.  */
  int32_t *calls_per_second, *calls_in_progress;
  int account_capacity; /* elements of either array */
};

/* Jobs in state "queued", polled from the job tables of all cells.  */
struct en_queued_jobs
{
  GHashTable *jobs; /* id to account handle plus 1 */
  int64_t next_rev; /* the cell's next scan begins at this revision */
  int64_t round_began_ms;
  int cell_index;             /* in the fleet: the cell being read */
  char cell_name[PR_ID_SIZE]; /* finds the cell again when others were added */
  char after[FL_MAX_ID + 1];  /* key of the last row read */
};

/* Position of the scan for expired key rows.  */
struct en_key_cleanup
{
  int account;                 /* handle */
  char after[FL_ROW_KEY_SIZE]; /* key of the last row examined */
};

struct en_core
{
  const struct en_settings *settings;
  int64_t now_ms, started_ms;
  int64_t hedge_ms; /* p95 of answered attempts; 0: too few samples */
  struct hs_server *server;
  struct sw_watch watch; /* of SERVER */
  struct hc_client *table_http, *upstream_http;
  struct tb_client *table;
  struct pr_net *net; /* NULL without peers */
  gsl_rng *rng;
  struct en_request **requests;
  json_t *cells_json; /* {"cells":[...]}; NULL before the first poll */
  struct vl_follow vms;
  struct bs_clock clock;
  struct fl_budget retry_budget;
  GQueue slot_waiters; /* requests whose call waits for a slot */
  struct fl_env env;
  struct cf_store config;
  struct cf_reader config_reader;
  struct rg_ring events; /* struct en_event */
  struct en_queued_jobs queued_jobs;
  struct en_key_cleanup key_cleanup;
  struct tm_service timers;
  struct fl_fleet fleet;
  struct en_peer peer[EN_MAX_PEERS];
  struct st_registry stat;
  struct fl_pool pool;
  enum en_fault_point fault_point;
  /* Shared with the server's and the peer network's threads.  */
  atomic_int queued_peer_messages, admitted_requests, leaving, stop;
  int account_capacity, stat_shard, request_count, table_failures;
  int peer_count, dialled_peers;
  int polls_in_progress; /* bit 1 << P for each en_table_purpose P */
  char incarnation[EN_INCARNATION_DIGITS + 1];
  struct pr_key_file peer_keys; /* in use; empty without CURVE */
  struct pr_daemon_settings peer_place;
};

/* start.c */

/* Initializes CORE and starts its HTTP clients, timers and peer network.
   SETTINGS must outlive CORE.  Returns 0 or a bs_error or pr_error.  */
int en_core_init (struct en_core *core, const struct en_settings *settings);
/* Stops the clients and the peer network and frees what CORE owns.  */
void en_core_fini (struct en_core *core);

/* core.c: the event loop.  The core thread calls every function below; other
   threads may call only en_push_event, en_on_http and en_now_us.  */

/* Timer callback; passes the time to every request in progress.  */
void en_tick (void *arg, int64_t now_ms);
/* Runs until CORE->stop is set and either no request is left or finish_ms
   have passed since.  */
void en_core_run (struct en_core *core);
/* Passes EV, which the core frees, to the core thread.  From any thread.  */
void en_push_event (struct en_core *core, struct en_event *ev);
/* Passes an HTTP exchange to the core thread, or answers it at once with
   "overload" when max_requests are in progress.  */
void en_on_http (void *arg, struct hs_exchange *ex);
/* Monotonic time in microseconds.  */
int64_t en_now_us (void);
/* Returns a random number in [0, 1).  */
double en_jitter (struct en_core *core);
/* Returns the time, a jitter and the health of the table for the state
   machines.  */
struct fl_conditions en_moment (struct en_core *core);
/* Frees REQ when it is answered, awaits no event and its call is over.  */
void en_free_if_finished (struct en_core *core, struct en_request *req);
/* Suspends REQ for good when POINT is the configured fault point and REQ is a
   call that may not be repeated.  Returns 1 when REQ is suspended.  */
int en_stop_at_fault_point (struct en_core *core, struct en_request *req,
                            enum en_fault_point point);

/* answer.c: responses to the caller.  Only the first answer to a request is
   sent; later ones are dropped.  */

/* Sends BODY, whose reference it takes.  HEADER and VALUE may be NULL.  */
void en_answer_json (struct en_core *core, struct en_request *req, int status,
                     json_t *body, const char *header, const char *value);
/* Sends BODY with content type TYPE.  */
void en_answer_text (struct en_core *core, struct en_request *req, int status,
                     const char *type, const char *body);
/* Sends PROBLEM with the members of MORE, whose reference it takes and which
   may be NULL.  */
void en_answer_problem (struct en_core *core, struct en_request *req,
                        const struct fl_problem *problem, json_t *more);
/* Sends a problem of KIND.  For a call or a job, "not run" becomes "unknown"
   unless it is known of the key and not just of this attempt.  */
void en_refuse (struct en_core *core, struct en_request *req,
                enum fl_problem_kind kind, const char *detail);
/* Records that REQ spent US microseconds in PHASE: "queue", "store" or
   "upstream".  */
void en_observe_phase (struct en_core *core, const struct en_request *req,
                       const char *phase, int64_t us);

/* table.c: table operations.  Each result arrives as an EN_EV_TABLE event
   with PURPOSE and REQ, which is NULL for operations of the core itself.  */

void en_table_commit (struct en_core *core, struct en_request *req,
                      enum en_table_purpose purpose, const struct tb_txn *txn);
void en_table_get (struct en_core *core, struct en_request *req,
                   enum en_table_purpose purpose, const char *table,
                   const char *key);
void en_table_scan (struct en_core *core, struct en_request *req,
                    enum en_table_purpose purpose, const struct tb_scan *scan);
void en_table_get_vms (struct en_core *core);
/* Counts consecutive failures of the table to decide whether it is down.
   ERROR is a tb_error.  */
void en_update_table_health (struct en_core *core, int error);
/* Maps a tb_error to the reply that the state machines expect.  */
enum fl_reply en_classify_reply (int error, int is_commit);
/* Finds the row of KEY in the result of a get or in the conflicts of a
   commit.  Returns a borrowed object with "version" and "value", or NULL when
   the row is absent.  */
json_t *en_find_row (json_t *data, const char *key);

/* The table of the idempotency keys of calls and jobs.  */
#define EN_REQUESTS_TABLE "requests"

/* claim.c: the row of a call that may not be repeated.  */

/* Writes the claim of REQ.  */
void en_claim_call (struct en_core *core, struct en_request *req);
/* Writes the end of the call to its row.  */
void en_record_end (struct en_core *core, struct en_request *req);
/* Marks the claim of a VM that is gone as "unknown".  */
void en_mark_unknown (struct en_core *core, struct en_request *req);
/* Fill the row and row state of EV from the table's result IN.  The caller
   has set the reply of EV.  */
void en_read_claim (struct en_core *core, struct en_request *req,
                    const struct en_event *in, struct fl_call_event *ev);
void en_read_record (struct en_request *req, const struct en_event *in,
                     struct fl_call_event *ev);

/* call.c: calls, and the state of a call by its key.  */

void en_call_begin (struct en_core *core, struct en_request *req);
/* Passes EV to the call's state machine and performs its actions.  */
void en_call_step (struct en_core *core, struct en_request *req,
                   struct fl_call_event *ev);
void en_call_on_table (struct en_core *core, struct en_request *req,
                       const struct en_event *ev);
void en_call_tick (struct en_core *core, struct en_request *req);
/* Reads the row of the call that REQ names.  */
void en_call_get (struct en_core *core, struct en_request *req);
/* Answers REQ by the row that en_call_get has read.  */
void en_call_get_result (struct en_core *core, struct en_request *req,
                         const struct en_event *ev);
void en_call_fini (struct en_request *req);

/* upstream.c: slots of upstreams and attempts of calls.  */

/* Takes a slot for REQ, or queues REQ until one is free.  The call gets
   FL_EV_SLOT, or FL_EV_NO_SLOT when no upstream could serve it.  */
void en_request_slot (struct en_core *core, struct en_request *req);
/* Removes REQ from the queue for slots.  */
void en_cancel_slot_request (struct en_core *core, struct en_request *req);
/* Sends an attempt of the call to the upstream whose slot it holds.  */
void en_dispatch (struct en_core *core, struct en_request *req);
/* Assigns free slots to the calls that wait.  */
void en_assign_slots (struct en_core *core);
void en_on_upstream (struct en_core *core, struct en_event *ev);

/* job.c: submission, state and cancellation of a job.  */

void en_job_begin (struct en_core *core, struct en_request *req);
void en_job_on_table (struct en_core *core, struct en_request *req,
                      const struct en_event *ev);
void en_job_tick (struct en_core *core, struct en_request *req);
/* Makes requests that wait for JOB read its row now.  */
void en_job_ended (struct en_core *core, const char *job);

/* job_list.c: the list of an account's jobs.  */

void en_job_list_begin (struct en_core *core, struct en_request *req);
void en_job_list_on_table (struct en_core *core, struct en_request *req,
                           const struct en_event *ev);

/* config_lists.c: plans and allowances, for operators.  */

void en_list_get (struct en_core *core, struct en_request *req);
void en_list_put (struct en_core *core, struct en_request *req);
void en_list_on_table (struct en_core *core, struct en_request *req,
                       const struct en_event *ev);

/* accounts.c */

/* Updates the accounts from the lists in force.  */
void en_update_accounts (struct en_core *core);

/* status.c */

/* Answers a request for health, metrics, counters, VMs, cells or status.  */
void en_status_begin (struct en_core *core, struct en_request *req);

/* poll.c: periodic reads from the platform.  */

/* Timer callback, each EN_WATCH_MS: shows what clients hold.  */
void en_watch (void *arg, int64_t now_ms);
/* Timer callback, each EN_POLL_MS.  */
void en_poll (void *arg, int64_t now_ms);
/* Handles the result of a table operation of the core itself.  */
void en_on_poll_result (struct en_core *core, const struct en_event *ev);
/* Marks the operation of PURPOSE as in progress.  Returns 0 when it is in
   progress already.  */
int en_poll_begin (struct en_core *core, enum en_table_purpose purpose);
/* Finds the cell of NAME or adds it.  Returns NULL when NAME is empty or the
   fleet has CF_MAX_CELLS.  Adding moves the other cells of F.  */
struct fl_cell *en_find_or_add_cell (struct fl_fleet *f, const char *name);
/* Reads the configuration now, or again when a read is in progress.  */
void en_poll_config (struct en_core *core);

/* vm_list.c: the platform's list of VMs.  */

/* Timer callback, each EN_VMS_CHECK_MS; reads the list when that is due.  */
void en_vms_check (void *arg, int64_t now_ms);
/* Updates the fleet, the upstream pool and the peers from the known list.  */
void en_vms_apply (struct en_core *core);
/* Reads the list when that is due, together with the other polls.  */
void en_vms_poll_periodic (struct en_core *core);
/* Takes over a list that was read and sends its changes to the failure
   domain.  DATA is NULL when the read failed.  */
void en_vms_on_read (struct en_core *core, const json_t *data);
/* Takes over the changes that another VM has sent.  */
void en_vms_on_message (struct en_core *core, const struct pr_vms *message);

/* queued_jobs.c: the number of queued jobs of each account.  */

/* Begins a round through the job tables of all cells when it is due.  */
void en_queued_jobs_poll (struct en_core *core);
/* Handles the rows of one scan and goes on with the next.  */
void en_queued_jobs_on_rows (struct en_core *core, const json_t *data);
/* Counts JOB for ACCOUNT, a handle, unless it is counted already.  */
void en_queued_jobs_add (struct en_core *core, const char *job, int account);

/* key_cleanup.c: deletion of expired key rows.  */

/* Timer callback, each EN_KEY_CLEANUP_MS; scans the next rows.  */
void en_key_cleanup_scan (void *arg, int64_t now_ms);
/* Deletes the expired ones among the rows of a scan.  */
void en_key_cleanup_on_rows (struct en_core *core, const json_t *data);

/* peers.c: the daemons on other VMs.  */

/* Starts the peer network when it is configured.  Returns 0 or a
   pr_error.  */
int en_peers_start (struct en_core *core);
/* Dials the listed entry VMs and every peer heard lately.  */
void en_peers_dial (struct en_core *core);
/* Timer callback; sends a heartbeat and the usage of the accounts.  */
void en_heartbeat (void *arg, int64_t now_ms);
void en_on_peer (struct en_core *core, const struct pr_message *m);
/* Returns 0 when a peer that is alive has lists in force that are newer than
   the versions PLANS and ALLOWANCES, or when for EN_PEER_DISCOVERY_MS after
   the start a listed entry VM has not been heard yet.  */
int en_lists_are_newest (struct en_core *core, int64_t plans,
                         int64_t allowances);
/* True when the process on VM that made TOKEN is known to be gone.  Another VM
   is gone after EN_PEER_TIMEOUT_MS without a heartbeat, or so long after the
   start when it is neither listed nor known.  */
int en_is_incarnation_gone (struct en_core *core, const char *vm,
                            const char *token);
/* Finds the peer of ROLE on VM.  With ADD it is added when it is unknown.
   Returns NULL when it is unknown, or when all EN_MAX_PEERS are in use.  */
struct en_peer *en_find_peer (struct en_core *core, const char *vm, int role,
                              int add);

/* notify.c: messages to the daemons on other VMs.  */

void en_send_all (struct en_core *core, const struct pr_message *m);
/* Sends M to the live daemons of the own failure domain.  */
void en_send_domain (struct en_core *core, const struct pr_message *m);
/* Notifies the holder of CELL that the row of JOB was written.  */
void en_notify_job (struct en_core *core, const char *cell, const char *job);
/* Notifies all daemons of a new version of LIST.  */
void en_notify_config (struct en_core *core, const char *list);

/* usage.c: the limits of client accounts over all entry VMs.  */

/* Sends the usage of the accounts on this VM to the other entry VMs.  */
void en_send_usage (struct en_core *core);
void en_on_usage (struct en_core *core, const struct pr_usage *u);
/* Sets what each account may use on this VM in the next period.  */
void en_update_limits (struct en_core *core);

#endif
