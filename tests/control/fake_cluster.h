/* A table, workers and VMs on a clock that the test advances: everything that
   a cell's controller reaches, in one process and in a fixed order.  */
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
  FW_RETENTION_MS = 3600000 /* of rows of ended jobs */
};

enum fw_table_mode
{
  FW_TABLE_OK,
  FW_TABLE_DOWN,  /* refused, nothing applied */
  FW_TABLE_LOSSY, /* a third of the answers is lost, applied or not */
  FW_TABLE_SILENT /* no answer, nothing applied */
};

enum fw_worker_mode
{
  FW_WORKER_OK,
  FW_WORKER_SILENT, /* runs on and answers nothing */
  FW_WORKER_BUSY,   /* refuses every hold */
  FW_WORKER_DEAD    /* has lost all */
};

struct fw_gang
{
  char job[CT_NAME];
  int attempt;
  enum wk_state state;
  int64_t remaining_ms, lease_until;
  int tasks;
  int fails, checkpointing;
  json_t *tasks_ordered; /* tasks as ordered */
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
  int alive, paused, generation;
  int64_t take_delay_ms;   /* below 0: takes no cell */
  int64_t vm_list_from_ms; /* when it is first shown the VM list */
  GQueue inbox;            /* answers that came while it was paused */
};

/* Each time that a task of an attempt began to run.  */
struct fw_task_start
{
  char job[CT_NAME];
  int attempt, task, worker;
  int64_t at_ms;
  int row_was_running; /* the row was running, with this attempt */
};

struct fw_cluster
{
  int64_t now_ms, rev;
  GHashTable *rows; /* "table/key" to a row */
  enum fw_table_mode table;
  struct fw_worker worker[FW_WORKERS];
  int workers;
  struct fw_vm vm[FW_VMS];
  GQueue pending;      /* requests on their way */
  GArray *starts;      /* struct fw_task_start */
  GArray *checkpoints; /* struct fw_task_start, of parts that reached one */
  struct cf_store config;
  gsl_rng *rng;
  int64_t run_ms; /* of every task */
  int checkpoint_on_expiry;
  int rows_written, generations;
  GHashTable *snapshot; /* rows of a snapshot, or NULL */
  int64_t snapshot_rev;
};

void fw_init (struct fw_cluster *w, int workers, unsigned long seed);
void fw_fini (struct fw_cluster *w);
/* Starts VM number I, with nothing kept of an earlier one.  */
void fw_start_vm (struct fw_cluster *w, int i);
/* It is gone at once; its requests on their way are not.  */
void fw_kill_vm (struct fw_cluster *w, int i);
void fw_run (struct fw_cluster *w, int64_t ms);
/* The VM that holds the cell and serves, or -1.  */
int fw_holder (struct fw_cluster *w);

void fw_put_job (struct fw_cluster *w, const char *id, int tasks, int per_task,
                 int repeatable, int fails);
/* The same for another account and class; urgent work is not preemptible. */
void fw_put_job_of (struct fw_cluster *w, const char *id, const char *account,
                    int urgent, int tasks, int per_task, int repeatable,
                    int fails);
/* Lists of VERSION that give ACCOUNT a guarantee of COUNT groups of SIZE.  */
void fw_guarantee (struct fw_cluster *w, int version, const char *account,
                   int size, int count);
void fw_cancel (struct fw_cluster *w, const char *id);
const char *fw_job_state (struct fw_cluster *w, const char *id);
json_t *fw_row (struct fw_cluster *w, const char *table, const char *key);
void fw_write (struct fw_cluster *w, const char *table, const char *key,
               json_t *value);
/* The wall clock, by which rows grow old; it stands still.  */
void fw_set_wall (int64_t ms);
/* Keeps the whole table as it is now; puts it back to that state.  */
void fw_snapshot (struct fw_cluster *w);
void fw_restore (struct fw_cluster *w);
/* Attempts of JOB of which a task ran.  */
int fw_attempts_run (struct fw_cluster *w, const char *job);
/* Attempts that ran, but for one and for those of which every part reached a
   checkpoint: going on from there is no repeat.  */
int fw_repeated_attempts (struct fw_cluster *w, const char *job);

#endif
