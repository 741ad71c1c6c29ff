/* Simulated cluster for tests of the cell controller: a table, workers and
   scheduler VMs in one process, on a clock that the test advances, in a
   deterministic order.  */
#ifndef TESTS_FAKE_CLUSTER_H
#define TESTS_FAKE_CLUSTER_H

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <stdint.h>

#include "control/cell.h"

enum
{
  FW_VMS = 3,
  FW_WORKERS = 8,
  FW_STEP_MS = 10,
  FW_RETENTION_MS = 3600000 /* retention of rows of ended jobs */
};

enum fw_table_mode
{
  FW_TABLE_OK,
  FW_TABLE_DOWN, /* requests fail; nothing is applied */
  /* A third of the answers is lost; the write may have been applied.  */
  FW_TABLE_LOSSY,
  FW_TABLE_SILENT /* no answer; nothing is applied */
};

enum fw_worker_mode
{
  FW_WORKER_OK,
  FW_WORKER_SILENT, /* tasks run on; no request is answered */
  FW_WORKER_BUSY,   /* every hold is refused as busy */
  FW_WORKER_DEAD    /* down; all tasks are lost */
};

/* The tasks of an attempt on a simulated worker.  */
struct fw_gang
{
  char job[CT_NAME];
  int attempt;
  enum wk_state state;
  int64_t remaining_ms, lease_until;
  int tasks;
  int fails, checkpointing; /* tasks fail; checkpoint ordered */
  json_t *tasks_ordered;    /* tasks as given in the hold */
};

struct fw_worker
{
  char id[CT_NAME];
  enum fw_worker_mode mode;
  int leaving;
  int64_t epoch;
  GArray *gangs; /* struct fw_gang */
};

struct fw_vm
{
  struct cl_cell cell;
  char name[CT_NAME], token[CT_TOKEN];
  struct cl_settings settings;
  int alive, paused, generation; /* GENERATION: number of the process */
  int64_t take_delay_ms;         /* negative: never takes over a cell */
  int64_t vm_list_from_ms;       /* when it first receives the VM list */
  GQueue inbox;                  /* answers received while paused */
};

/* Record of a task that started to run.  */
struct fw_task_start
{
  char job[CT_NAME];
  int attempt, task, worker;
  int64_t at_ms;
  int row_was_running; /* the job's row had state running and this attempt */
};

struct fw_cluster
{
  int64_t now_ms, rev;
  GHashTable *rows; /* "TABLE/KEY" to struct row */
  enum fw_table_mode table;
  struct fw_worker worker[FW_WORKERS];
  int workers;
  struct fw_vm vm[FW_VMS];
  GQueue pending;      /* struct request in flight */
  GArray *starts;      /* struct fw_task_start */
  GArray *checkpoints; /* struct fw_task_start of checkpointed parts */
  struct cf_store config;
  gsl_rng *rng;
  int64_t run_ms; /* run time of every task */
  int checkpoint_on_expiry;
  int rows_written, generations;
  GHashTable *snapshot; /* rows of the snapshot, or NULL */
  int64_t snapshot_rev;
};

/* Initializes a cluster with WORKERS workers and no VM.  SEED determines all
   random choices.  */
void fw_init (struct fw_cluster *w, int workers, unsigned long seed);
void fw_fini (struct fw_cluster *w);
/* Starts VM number I as a new process.  */
void fw_start_vm (struct fw_cluster *w, int i);
/* Kills VM number I.  Its requests in flight are still served.  */
void fw_kill_vm (struct fw_cluster *w, int i);
/* Advances the clock by MS in steps of FW_STEP_MS.  */
void fw_run (struct fw_cluster *w, int64_t ms);
/* Returns the number of the VM that serves the cell, or -1.  */
int fw_holder (struct fw_cluster *w);

/* Writes the row of a new bulk job of account "a".  With FAILS its tasks
   fail.  */
void fw_put_job (struct fw_cluster *w, const char *id, int tasks, int per_task,
                 int repeatable, int fails);
/* Like fw_put_job, with account and class; urgent jobs are not
   preemptible.  */
void fw_put_job_of (struct fw_cluster *w, const char *id, const char *account,
                    int urgent, int tasks, int per_task, int repeatable,
                    int fails);
/* Applies plan lists of VERSION that guarantee ACCOUNT COUNT groups of SIZE
   accelerators.  */
void fw_guarantee (struct fw_cluster *w, int version, const char *account,
                   int size, int count);
void fw_cancel (struct fw_cluster *w, const char *id);
const char *fw_job_state (struct fw_cluster *w, const char *id);
/* Returns a borrowed reference to the row's value, or NULL.  */
json_t *fw_row (struct fw_cluster *w, const char *table, const char *key);
/* Writes a row and releases the reference to VALUE.  */
void fw_write (struct fw_cluster *w, const char *table, const char *key,
               json_t *value);
/* Sets the wall clock that determines the age of rows.  It does not
   advance.  */
void fw_set_wall (int64_t ms);
/* Takes a snapshot of the table.  fw_restore restores the last one.  */
void fw_snapshot (struct fw_cluster *w);
void fw_restore (struct fw_cluster *w);
/* Returns the number of attempts of JOB of which a task ran.  */
int fw_attempts_run (struct fw_cluster *w, const char *job);
/* Returns the number of repeated attempts: those that ran, without the first
   and without those of which every part was checkpointed, because resuming
   from a checkpoint is no repeat.  */
int fw_repeated_attempts (struct fw_cluster *w, const char *job);

#endif
