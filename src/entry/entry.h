/* skr-entry: HTTP for callers and operators.  Server threads hand each
   request to one core thread, which owns all state; the HTTP client and the
   peers hand their results to it over the same bounded ring.  */
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
#include "skr/stat.h"
#include "skr/table.h"
#include "skr/timer.h"
#include "skr/vms.h"

enum
{
  EN_TOKEN_SIZE = 33,        /* bytes of a token with its NUL */
  EN_INCARNATION = 16,       /* first digits of a token: this process */
  EN_TICK_MS = 10,           /* step of the deadlines */
  EN_POLL_MS = 1000,         /* configuration, cells */
  EN_VMS_MS = 100,           /* whether to read the VM list */
  EN_OLD_MS = 4000,          /* between two groups of old rows */
  EN_PEERS = 128,            /* daemons on other VMs */
  EN_PEER_DEAD_MS = 5000,    /* a silent peer counts as gone */
  EN_PEER_FIRST_MS = 3000,   /* after the start: listed peers are heard */
  EN_PEER_QUEUE = 512,       /* messages of peers waiting for the core */
  EN_TABLE_FAILURES = 3,     /* in a row: the table is known down */
  EN_EVENTS_FOR_REQUEST = 4, /* results that one request can await */
  EN_FLEET = 4096            /* workers in the VM list */
};

/* Where a request stops for good, for tests that kill the process.  */
enum en_fault
{
  EN_FAULT_NONE,
  EN_FAULT_BEFORE_CLAIM,
  EN_FAULT_AFTER_CLAIM,
  EN_FAULT_AFTER_DISPATCH,
  EN_FAULT_BEFORE_ANSWER
};

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
  EN_EV_HTTP,
  EN_EV_TABLE,
  EN_EV_UPSTREAM,
  EN_EV_PEER
};

/* What a result of the table is for.  */
enum en_tag
{
  EN_TAG_STEP,   /* the request's next step */
  EN_TAG_RECORD, /* the end of a call */
  EN_TAG_MARK,   /* another VM's dead claim */
  EN_TAG_POLL_CONFIG,
  EN_TAG_POLL_VMS,
  EN_TAG_POLL_CELLS,
  EN_TAG_POLL_JOBS,
  EN_TAG_REPAIR,
  EN_TAG_OLD,     /* rows of keys of any age */
  EN_TAG_OLD_GONE /* old ones are deleted */
};

struct en_request;

struct en_event
{
  enum en_event_kind kind;
  struct en_request *req; /* NULL for the core's own */
  union
  {
    struct hs_exchange *ex;
    struct
    {
      enum en_tag tag;
      int error, is_commit;
      json_t *data;
      int64_t took_us;
    } table;
    struct
    {
      int handle; /* of the upstream */
      enum fl_upstream_end end;
      enum fl_outcome outcome;
      json_t *answer;
      int64_t took_us;
    } upstream;
    struct pr_message *peer;
  } u;
};

struct en_call
{
  struct fl_call m;
  int slot;  /* upstream of the slot held for the next dispatch */
  int avoid; /* upstream of the last attempt */
  int64_t wanted_us, wait_us, table_us, upstream_us;
  json_t *answer;      /* the upstream's, or the row's */
  json_t *others;      /* another attempt's row */
  int64_t row_version; /* of our row; 0: absent */
};

struct en_job
{
  struct fl_write w;
  char id[PR_ID], cell[PR_ID];
  int writing;         /* the write is what the table is asked for */
  int64_t row_version; /* of the job's row */
  json_t *value;       /* the row as last seen */
  int64_t wait_until_ms, poll_due_ms;
  int reading;
  int hops; /* rows read that say in which other cell the job is */
};

struct en_list
{
  const char *name; /* CF_PLANS or CF_ALLOWANCES */
  int tries, maybe, committing;
  struct cf_reader reader; /* of the table's state */
};

struct en_page
{
  json_t *jobs;
  char after[FL_MAX_ID + 1];
  int cell, limit, scans; /* index of the cell that is read */
};

struct en_request
{
  struct hs_exchange *ex; /* NULL once answered */
  struct fl_request fr;
  char key[FL_MAX_ID + 1];
  char token[EN_TOKEN_SIZE];
  int index; /* in the core's list */
  int refs;  /* results awaited */
  int paused;
  int64_t began_us;
  union
  {
    struct en_call call;
    struct en_job job;
    struct en_list list;
    struct en_page page;
  } u;
};

struct en_peer
{
  char vm[PR_ID], address[PR_ADDRESS], domain[PR_ID];
  int role, leaving;
  int64_t heard_ms, usage_ms;
  int64_t plans_version, allowances_version; /* in force there */
  int32_t *rate, *busy; /* of each account; NULL before the first word */
  int room;             /* of both */
};

/* Jobs that wait, as the tables of all cells say.  */
struct en_queued
{
  GHashTable *jobs; /* id -> handle of its account, plus 1 */
  int64_t next_rev, begun_ms;
  int cell;         /* that is read */
  char name[PR_ID]; /* of it; others may come before it meanwhile */
  char after[FL_MAX_ID + 1];
};

/* The walk through old rows of keys.  */
struct en_old
{
  int account; /* handle */
  char after[FL_ROW_KEY_SIZE];
};

struct en_core
{
  const struct en_settings *set;
  int64_t now_ms, started_ms, hedge_ms;
  struct hs_server *server;
  struct hc_client *hc_table, *hc_up;
  struct tb_client *tb;
  struct pr_net *net;
  gsl_rng *rng;
  struct en_request **live;
  json_t *cells;
  struct vl_follow vms;
  struct bs_clock clock;
  struct fl_budget budget;
  GQueue wanting; /* calls that wait for a slot */
  struct fl_env env;
  struct cf_store config;
  struct cf_reader reader;
  struct rg_ring ring;
  struct en_queued queued;
  struct en_old old;
  struct tm_service timers;
  struct fl_fleet fleet;
  struct en_peer peer[EN_PEERS];
  struct st_registry stat;
  struct fl_pool pool;
  enum en_fault fault;
  atomic_int peer_queued, live_now, leaving, stop;
  int accounts_room, shard, live_count, table_failures, peers, dialled;
  int polls; /* of the core that are in progress, by bits of en_tag */
  char incarnation[EN_INCARNATION + 1];
  struct pr_key_file keys; /* in use; empty without CURVE */
  struct pr_place place;
};

/* start.c */
int en_core_init (struct en_core *core, const struct en_settings *set);
void en_core_fini (struct en_core *core);
/* core.c: the loop.  */
/* Passes the time to every request in progress.  */
void en_tick (void *arg, int64_t now_ms);
/* Runs until en_core_stop and until nothing is left to finish.  */
void en_core_run (struct en_core *core);
void en_push (struct en_core *core, struct en_event *ev);
void en_on_http (void *arg, struct hs_exchange *ex);
int64_t en_now_us (void);
double en_jitter (struct en_core *core);
struct fl_moment en_moment (struct en_core *core);
/* Frees REQ once it is answered and awaits nothing.  */
void en_settle (struct en_core *core, struct en_request *req);
/* True when REQ stops here for good.  */
int en_fault_here (struct en_core *core, struct en_request *req,
                   enum en_fault point);

/* answer.c: to the other end.  Each answers once; later ones are dropped.  */
void en_answer_json (struct en_core *core, struct en_request *req, int status,
                     json_t *body, const char *header, const char *value);
void en_answer_text (struct en_core *core, struct en_request *req, int status,
                     const char *type, const char *body);
void en_answer_problem (struct en_core *core, struct en_request *req,
                        const struct fl_problem *problem, json_t *more);
void en_refuse (struct en_core *core, struct en_request *req,
                enum fl_problem_kind kind, const char *detail);
/* Notes the time that REQ spent in PART: queue, store or upstream.  */
void en_observe_part (struct en_core *core, const struct en_request *req,
                      const char *part, int64_t us);

/* rows.c: the table, as events.  */
void en_commit (struct en_core *core, struct en_request *req, enum en_tag tag,
                const struct tb_txn *txn);
void en_get (struct en_core *core, struct en_request *req, enum en_tag tag,
             const char *table, const char *key);
void en_scan (struct en_core *core, struct en_request *req, enum en_tag tag,
              const struct tb_scan *scan);
void en_get_vms (struct en_core *core);
/* Keeps the table's health.  */
void en_note_table (struct en_core *core, int error);
enum fl_reply en_reply_of (int error, int is_commit);
/* The row of KEY that a get, or the conflicts of a commit, show: a borrowed
   object with "version" and "value", or NULL when it is absent.  */
json_t *en_row (json_t *data, const char *key);

/* The table of calls' and jobs' keys.  */
#define EN_REQUESTS "requests"

/* claim.c: the row of a call that may not be repeated.  */
void en_claim (struct en_core *core, struct en_request *req);
void en_record (struct en_core *core, struct en_request *req);
void en_mark_unknown (struct en_core *core, struct en_request *req);
/* Each reads what the table shows into EV, whose reply is set.  */
void en_read_claim (struct en_core *core, struct en_request *req,
                    const struct en_event *in, struct fl_call_event *ev);
void en_read_record (struct en_request *req, const struct en_event *in,
                     struct fl_call_event *ev);

/* call.c */
void en_call_begin (struct en_core *core, struct en_request *req);
void en_call_event (struct en_core *core, struct en_request *req,
                    struct fl_call_event *ev);
void en_call_table (struct en_core *core, struct en_request *req,
                    const struct en_event *ev);
void en_call_tick (struct en_core *core, struct en_request *req);
void en_call_get (struct en_core *core, struct en_request *req);
void en_call_got (struct en_core *core, struct en_request *req,
                  const struct en_event *ev);
void en_call_fini (struct en_request *req);

/* upstream.c */
void en_want (struct en_core *core, struct en_request *req);
void en_unwant (struct en_core *core, struct en_request *req);
void en_dispatch (struct en_core *core, struct en_request *req);
/* Gives free slots to the calls that wait.  */
void en_feed (struct en_core *core);
void en_on_upstream (struct en_core *core, struct en_event *ev);

/* job.c */
void en_job_begin (struct en_core *core, struct en_request *req);
void en_job_table (struct en_core *core, struct en_request *req,
                   const struct en_event *ev);
void en_job_tick (struct en_core *core, struct en_request *req);
void en_job_ended (struct en_core *core, const char *job);
/* jobs.c */
void en_jobs_begin (struct en_core *core, struct en_request *req);
void en_jobs_table (struct en_core *core, struct en_request *req,
                    const struct en_event *ev);

/* lists.c */
void en_list_get (struct en_core *core, struct en_request *req);
void en_list_put (struct en_core *core, struct en_request *req);
void en_list_table (struct en_core *core, struct en_request *req,
                    const struct en_event *ev);

/* accounts.c.  Makes the accounts follow the lists in force.  */
void en_accounts (struct en_core *core);

/* view.c */
void en_view (struct en_core *core, struct en_request *req);

/* poll.c */
void en_poll (void *arg, int64_t now_ms);
void en_polled (struct en_core *core, const struct en_event *ev);
/* Marks TAG as in progress, or returns 0 when it is.  */
int en_poll_start (struct en_core *core, enum en_tag tag);
/* What is known of a cell, made when it is not.  */
struct fl_cell *en_cell_of (struct fl_fleet *f, const char *name);
/* Reads the configuration now.  */
void en_poll_config (struct en_core *core);

/* vms.c */
void en_vms_poll (void *arg, int64_t now_ms);
/* Takes the list over as it is known.  */
void en_vms_take_up (struct en_core *core);
void en_vms_turn (struct en_core *core);
void en_vms_read (struct en_core *core, const json_t *data);
void en_vms_told (struct en_core *core, const struct pr_vms *word);

/* queued.c */
void en_queued_poll (struct en_core *core);
void en_queued_rows (struct en_core *core, const json_t *data);
void en_queued_add (struct en_core *core, const char *job, int account);

/* old.c */
void en_old_step (void *arg, int64_t now_ms);
void en_old_rows (struct en_core *core, const json_t *data);

/* peers.c */
int en_peers_start (struct en_core *core);
void en_peers_dial (struct en_core *core);
void en_heartbeat (void *arg, int64_t now_ms);
void en_on_peer (struct en_core *core, const struct pr_message *m);
/* True when no VM is known, or too new to be known, to have lists in force
   that are newer than these versions.  */
int en_lists_are_newest (struct en_core *core, int64_t plans,
                         int64_t allowances);
/* True when the VM that made TOKEN is known to be gone.  */
int en_is_dead (struct en_core *core, const char *vm, const char *token);
/* Finds, or with ADD makes, what is known of a daemon; NULL without.  */
struct en_peer *en_peer_of (struct en_core *core, const char *vm, int role,
                            int add);

/* tell.c */
void en_send_all (struct en_core *core, const struct pr_message *m);
/* To the daemons of the own failure domain.  */
void en_send_domain (struct en_core *core, const struct pr_message *m);
/* Tells the holder of CELL about JOB.  */
void en_tell_job (struct en_core *core, const char *cell, const char *job);
void en_tell_config (struct en_core *core, const char *list);

/* usage.c */
void en_send_usage (struct en_core *core);
void en_on_usage (struct en_core *core, const struct pr_usage *u);
/* Sets what each account may use in the next period.  */
void en_limits (struct en_core *core);

#endif
