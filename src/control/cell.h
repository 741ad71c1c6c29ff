/* The controller of one cell: takes its lease, rebuilds its state, feeds the
   decision layer and carries out what it decides.  All I/O is asked for as
   effects and answered by the cl_*_done calls; the time is passed in.  */
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
  CL_WATCHING, /* another VM's, or nobody's */
  CL_LOADING,  /* the lease is held; job rows are read */
  CL_SURVEY,   /* workers are asked what they run */
  CL_SERVING
};

enum cl_request
{
  CL_RENEW, /* POST /v1/leases */
  CL_POLL,  /* GET /v1/tasks */
  CL_PART   /* an order to a part of a gang */
};

/* Comes back with the answer to an order.  */
struct cl_ticket
{
  enum cl_request request;
  uint32_t worker;
  int64_t tenure, sent_ms;
  char job[CT_NAME]; /* of a part */
  int32_t attempt;
  enum wk_order order;
};

enum cl_effect_kind
{
  CL_ORDER,  /* an HTTP request to a worker; cl_order_done */
  CL_COMMIT, /* a transaction; cl_commit_done */
  CL_READ,   /* read the cell's row; cl_read_done */
  CL_SCAN,   /* scan the job rows; cl_scan_done */
  CL_SWEEP,  /* read some job rows of any age; cl_sweep_done */
  CL_ENDED   /* tell the entry VMs that a job's state has changed */
};

struct cl_cell;

struct cl_effect
{
  enum cl_effect_kind kind;
  struct cl_cell *cell;
  int64_t serial; /* of all but orders; comes back with the answer */
  union
  {
    struct
    {
      struct cl_ticket ticket;
      const char *address, *path;
      const json_t *body; /* NULL: GET */
      int timeout_ms;
    } order;
    const struct tb_txn *commit;
    struct
    {
      int64_t since;
      const char *after; /* NULL: from the start */
      int limit;         /* 0: the table's own */
    } scan;
    struct
    {
      const char *job;
      const json_t *row; /* of an end, else NULL */
      int is_end;        /* else the job goes on */
    } ended;
  } u;
};

/* Must not call back into the cell.  */
typedef void cl_emit (void *arg, const struct cl_effect *effect);

struct cl_settings
{
  const char *vm, *token;
  int64_t cell_lease_ms, cell_margin_ms;
  int64_t task_lease_ms;
  int64_t poll_ms, poll_max_ms; /* between polls of a worker */
  int64_t scan_ms;              /* between reads of job rows */
  int64_t settle_ms;            /* the list of workers must not change for */
  int64_t order_timeout_ms;
  int reserve_slots;         /* of each worker, kept for calls */
  int commit_rows;           /* rows in one transaction */
  int rows_per_second;       /* written by one cell */
  int64_t keep_ms;           /* rows of ended jobs, after their end */
  int64_t (*wall_ms) (void); /* the clock of the times in rows */
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
  double jitter; /* of this VM's next take-over, in [0, 1) */
  struct mb_times worker_times;
  int64_t now_ms;
  int64_t serial; /* of the last effect; of the last commit, read, scan */
  int64_t commit_serial, read_serial, scan_serial;

  struct ce_lease lease;
  enum cl_phase phase;
  int64_t tenure; /* counts the times that the lease was taken */
  int64_t took_ms;
  int releasing, lease_expired;
  /* The table was put back: live rows up to this revision that this process
     does not know better may have been carried out already.  0: it was not;
     INT64_MAX: the revision is not known yet.  */
  int64_t restored_rev;

  struct dc *dc;
  GQueue events; /* struct dc_event to be applied */
  int applying;
  int64_t config_version;

  GArray *workers;  /* struct mb_worker, by handle */
  GPtrArray *racks; /* names, by handle */
  int64_t workers_changed_ms;
  int fleet_listed; /* lists seen in this tenure */

  GPtrArray *accounts; /* names, by handle */
  GHashTable *jobs;    /* id to struct jb_job */
  GPtrArray *jobs_by_handle;
  GArray *free_handles;
  GQueue waiting;   /* struct jb_job to be given to the decision layer */
  GPtrArray *gangs; /* struct wk_gang, all attempts that workers may know */
  GHashTable *gangs_by_job; /* job to its first gang */
  GPtrArray
      *gangs_by_worker; /* by worker: GPtrArray of gangs with a part there */

  json_t *cell_rows; /* of all cells as last read, or NULL */
  int64_t relocate_at_ms;
  GHashTable *dropped; /* ids of jobs that were let go of to the revision */

  GQueue dirty[DC_BULK + 1]; /* struct jb_job to be written, by class */
  GPtrArray *batch;          /* the jobs of the write in flight */
  int64_t commit_at_ms, read_at_ms;
  int reading, backoff_steps;
  double row_tokens; /* rows that may be written now */
  int64_t row_tokens_ms;

  GPtrArray *expired_rows; /* rows to be deleted */
  int64_t sweep_at_ms, sweep_serial;
  char sweep_after[CT_NAME];
  int sweeping;

  int64_t scan_rev, scan_first_rev, scan_at_ms;
  char scan_after[CT_NAME];
  int scanning, scan_soon;
};

/* The controller of CELL.  */
int cl_init (struct cl_cell *c, const char *name,
             const struct cl_settings *set, struct cf_store *config,
             cl_emit *emit, void *arg);
void cl_fini (struct cl_cell *c);

/* Does what is due; TAKE_DELAY_MS below 0 forbids a take-over.  Returns the
   milliseconds until it wants to be called again at the latest.  */
int cl_tick (struct cl_cell *c, int64_t now_ms, int64_t take_delay_ms);
/* Gives the lease up; CL_WATCHING follows.  */
void cl_give_up (struct cl_cell *c);

/* What others learnt.  VMS: the array of the VM list.  */
void cl_fleet (struct cl_cell *c, int64_t now_ms, const json_t *vms);
void cl_row (struct cl_cell *c, int64_t now_ms, const json_t *value,
             int64_t version);
void cl_row_failed (struct cl_cell *c);
/* ROWS: the array of all cells' rows.  */
void cl_cells (struct cl_cell *c, json_t *rows);
void cl_saw_epoch (struct cl_cell *c, int64_t now_ms, int64_t epoch);
void cl_job_written (struct cl_cell *c);

/* Answers to effects.  */
void cl_order_done (struct cl_cell *c, int64_t now_ms,
                    const struct cl_ticket *ticket, enum hc_end end,
                    long status, const json_t *body);
void cl_commit_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                     int error, const json_t *data);
void cl_read_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                   int error, const json_t *data);
void cl_scan_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                   int error, const json_t *data);

void cl_sweep_done (struct cl_cell *c, int64_t now_ms, int64_t serial,
                    int error, const json_t *data);

int cl_may_act (const struct cl_cell *c);
/* Free accelerators and counts, for the cell's row.  */
json_t *cl_summary (struct cl_cell *c);

#endif
