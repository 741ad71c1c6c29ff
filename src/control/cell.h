/* The controller of one cell: acquires the cell's lease, rebuilds the cell's
   state from job rows and worker reports, passes events to the decision layer
   and carries out its actions.  It performs no I/O of its own: requests are
   emitted as effects and answered through the cl_*_done functions.  The caller
   passes in the time in monotonic milliseconds.  */
#ifndef CONTROL_CELL_H
#define CONTROL_CELL_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <stdint.h>

#include "config/config.h"
#include "control/control.h"
#include "control/gang.h"
#include "control/job.h"
#include "control/lease.h"
#include "control/member.h"
#include "control/relocate.h"
#include "skr/decide.h"
#include "skr/http.h"
#include "skr/table.h"

#define CL_TABLE "cells"

enum cl_phase
{
  CL_WATCHING, /* the lease is not held by this process */
  CL_LOADING,  /* lease held; reading the job rows */
  CL_SURVEY,   /* asking workers which tasks they run */
  CL_SERVING
};

enum cl_request
{
  CL_RENEW, /* POST /v1/leases */
  CL_POLL,  /* GET /v1/tasks */
  CL_PART   /* order to one worker's part of a gang */
};

/* Identifies an order; returned unchanged with its answer.  */
struct cl_ticket
{
  enum cl_request request;
  uint32_t worker;
  int64_t tenure, sent_ms;
  char job[CT_NAME]; /* of JOB, CL_PART only */
  int32_t attempt;
  enum wk_order order;
};

enum cl_effect_kind
{
  CL_ORDER,      /* HTTP request to a worker; answer: cl_order_done */
  CL_COMMIT,     /* table transaction; answer: cl_commit_done */
  CL_READ,       /* read of the cell's row; answer: cl_read_done */
  CL_SCAN,       /* scan of the job rows; answer: cl_scan_done */
  CL_SWEEP,      /* read of one page of job rows; answer: cl_sweep_done */
  CL_JOB_CHANGED /* notify entry VMs of a job's new state; no answer */
};

struct cl_cell;

struct cl_effect
{
  enum cl_effect_kind kind;
  struct cl_cell *cell;
  int64_t serial; /* returned with the answer; unused for orders */
  union
  {
    struct
    {
      struct cl_ticket ticket;
      const char *address, *path;
      const json_t *body; /* JSON body; NULL: send a GET */
      int timeout_ms;
    } order;
    const struct tb_txn *commit;
    struct
    {
      int64_t since;
      const char *after; /* last key read; NULL: from the start */
      int limit;         /* rows per page; 0: the table's default */
    } scan;
    struct
    {
      const char *job;
      const json_t *row; /* job row if the job has ended, else NULL */
      int is_end;        /* 1: the job has ended */
    } ended;
  } u;
};

/* Starts the request described by EFFECT, which is valid only during the call.
   Must not call back into the cell.  */
typedef void cl_emit (void *arg, const struct cl_effect *effect);

struct cl_settings
{
  const char *vm, *token;
  int64_t cell_lease_ms, cell_margin_ms; /* see lease.h */
  int64_t task_lease_ms; /* lease of tasks, granted to workers */
  /* Shortest and longest interval between polls of a worker.  */
  int64_t poll_ms, poll_max_ms;
  int64_t scan_ms;           /* between scans of the job rows */
  int64_t settle_ms;         /* how long the worker list must be unchanged */
  int64_t order_timeout_ms;  /* longest wait for an answer to an order */
  int reserve_slots;         /* slots of each worker reserved for calls */
  int commit_rows;           /* maximum job rows in one transaction */
  int rows_per_second;       /* write rate limit of one cell */
  int64_t retention_ms;      /* how long rows of ended jobs are retained */
  int64_t (*wall_ms) (void); /* wall clock used in rows */
  struct dc_config decide;
};

struct cl_cell
{
  char name[CT_NAME], table[CT_NAME + 8];
  const struct cl_settings *settings;
  struct cf_store *config;
  cl_emit *emit;
  void *arg;
  gsl_rng *rng;
  double jitter; /* random delay factor of the next take-over, in [0, 1) */
  struct mb_times worker_times;
  int64_t now_ms;
  int64_t serial; /* serial of the last effect */
  int64_t commit_serial, read_serial, scan_serial;

  struct ce_lease lease;
  enum cl_phase phase;
  int64_t tenure;    /* number of times this process acquired the lease */
  int64_t taken_ms;  /* when the lease was acquired */
  int releasing;     /* the release was requested */
  int lease_expired; /* the expiry of the lease was logged */
  /* Nonzero after the table was restored to an earlier state: queued rows up
     to this revision may already have been executed, unless this process knows
     the job.  INT64_MAX: the revision is not known yet.  */
  int64_t restored_rev;

  struct dc *dc;          /* decision layer; NULL while CL_WATCHING */
  GQueue events;          /* struct dc_event waiting to be applied */
  int applying;           /* EVENTS is being processed */
  int64_t config_version; /* version of the plans last applied */

  GArray *workers;            /* struct mb_worker, indexed by worker handle */
  GPtrArray *racks;           /* names, by handle */
  int64_t workers_changed_ms; /* last addition to the workers */
  int lists_received;         /* worker lists received in this tenure */

  GPtrArray *accounts;       /* names, by handle */
  GHashTable *jobs;          /* job id to struct jb_job; owns the jobs */
  GPtrArray *jobs_by_handle; /* struct jb_job, NULL for free handles */
  GArray *free_handles;
  GQueue waiting; /* struct jb_job not yet submitted to the decision layer */
  /* The owned struct wk_gang of every attempt that a worker may still know. */
  GPtrArray *gangs;
  /* Job id to its first gang, which is followed by next_of_job.  */
  GHashTable *gangs_by_job;
  /* Indexed by worker handle: GPtrArray of the gangs with a part there.  */
  GPtrArray *gangs_by_worker;

  json_t *cell_rows;      /* rows of all cells as last read, or NULL */
  int64_t relocate_at_ms; /* time of the next relocation check */
  GHashTable *dropped; /* ids of dropped jobs, with the last revision known */

  /* Jobs whose rows must be written, by class.  */
  GQueue dirty[DC_BULK + 1];
  GPtrArray *batch;                 /* jobs of the transaction in flight */
  int64_t commit_at_ms, read_at_ms; /* earliest next commit and re-read */
  int reading, backoff_steps;       /* re-read in flight; failed commits */
  double row_tokens;                /* token bucket of row writes */
  int64_t row_tokens_ms;            /* time of the last refill */

  GPtrArray *expired_rows; /* struct expired_row to be deleted */
  int64_t sweep_at_ms, sweep_serial;
  char sweep_after[CT_NAME]; /* last key read by the sweep */
  int sweeping;

  /* Scans return rows newer than scan_rev, the revision of the first page of
     the last complete scan.  SCAN_FIRST_REV is that of the current one.  */
  int64_t scan_rev, scan_first_rev, scan_at_ms;
  char scan_after[CT_NAME]; /* last key read by the current scan */
  int scanning, scan_soon;  /* scan in flight; scan without delay */
};

/* Initializes the controller of the cell NAME.  SET, CONFIG and ARG must
   outlive C; EMIT is called with ARG for each effect.  Returns CT_OK or
   CT_ENOMEM.  */
int cl_init (struct cl_cell *c, const char *name,
             const struct cl_settings *set, struct cf_store *config,
             cl_emit *emit, void *arg);
/* Frees all memory of C.  The lease is not released.  */
void cl_fini (struct cl_cell *c);

/* Performs all work due at NOW_MS.  TAKE_DELAY_MS is how long to wait before
   taking over a free lease; a negative value forbids a take-over.  Returns the
   number of milliseconds after which to call again at the latest.  */
int cl_tick (struct cl_cell *c, int64_t now_ms, int64_t take_delay_ms);
/* Starts to release the lease: pending rows are written first, then the phase
   becomes CL_WATCHING.  */
void cl_release (struct cl_cell *c);

/* Replaces the list of workers.  VMS is the array of the VM list; VMs of other
   roles and cells are ignored.  */
void cl_update_workers (struct cl_cell *c, int64_t now_ms, const json_t *vms);
/* Passes on a successful read of the cell's row.  VALUE is NULL and VERSION 0
   when it is absent.  */
void cl_observe_row (struct cl_cell *c, int64_t now_ms, const json_t *value,
                     int64_t version);
/* Passes on a failed read of the cell's row.  */
void cl_row_read_failed (struct cl_cell *c);
/* Passes on the array of the rows of all cells.  C takes a reference of its
   own.  */
void cl_set_cell_rows (struct cl_cell *c, json_t *rows);
/* Passes on an epoch of this cell that a peer announced.  */
void cl_observe_epoch (struct cl_cell *c, int64_t now_ms, int64_t epoch);
/* Requests a scan at the next tick, because another process wrote a job
   row.  */
void cl_request_scan (struct cl_cell *c);

/* Answers to effects.  Those with an outdated serial or ticket are ignored.
   ERROR is 0 or an enum tb_error.  */
void cl_order_done (struct cl_cell *c, int64_t now_ms,
                    const struct cl_ticket *ticket, enum hc_outcome end,
                    long status, const json_t *body);
void cl_commit_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                     int error, const json_t *data);
void cl_read_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                   int error, const json_t *data);
void cl_scan_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                   int error, const json_t *data);

void cl_sweep_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                    int error, const json_t *data);

/* Whether the lease is provably held at the time of the last call.  */
int cl_may_act (const struct cl_cell *c);
/* Returns a new object with free accelerators and counts, which is merged into
   the cell's row.  */
json_t *cl_summary (struct cl_cell *c);

#endif
