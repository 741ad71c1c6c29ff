/* Traces of `skr-replay`: JSON Lines of input events and output actions, the
   names in them, and the measures of a run.  Times are integer
   milliseconds.  */
#ifndef SKR_TRACE_H
#define SKR_TRACE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "skr/decide.h"

enum tr_error
{
  TR_OK = 0,
  TR_EINVAL = -101, /* invalid line; see the reader's REASON */
  TR_ENOMEM = -102, /* allocation failed */
  TR_EIO = -103     /* the file could not be read */
};

enum
{
  TR_REASON_SIZE = 160, /* bytes of a reason, with the NUL */
  TR_SIZE_CLASSES = 24, /* powers of two up to the largest gang */
  TR_NONE = -1          /* no such name */
};

/* Names of one kind.  A name is a JSON string or integer and is written as it
   was read.  Handles count from 0 in the order of first use.  */
struct tr_names
{
  apr_pool_t *pool;
  apr_hash_t *index;
  GPtrArray *value; /* json_t *, by handle */
};

struct tr_tables
{
  struct tr_names worker, rack, domain, account, job;
};

/* Initializes TABLES, which tr_tables_fini frees.  Returns 0 or TR_ENOMEM.  */
int tr_tables_init (struct tr_tables *tables);
void tr_tables_fini (struct tr_tables *tables);
/* Returns the handle of VALUE, adding it if it is new.  */
uint32_t tr_name_add (struct tr_names *names, json_t *value);
/* Returns the handle of VALUE or TR_NONE.  */
int64_t tr_name_find (const struct tr_names *names, json_t *value);
/* Adds the name PREFIX followed by the next handle.  Returns that handle.  */
uint32_t tr_name_next (struct tr_names *names, const char *prefix);
/* Returns the name with this handle, owned by NAMES.  */
json_t *tr_name_value (const struct tr_names *names, uint32_t handle);

enum tr_kind
{
  TR_WORKER,
  TR_LEAVING,
  TR_DOWN,
  TR_FAILS_ALL,
  TR_HEALS,
  TR_PLAN,
  TR_SUBMIT,
  TR_CANCEL,
  TR_END
};

struct tr_worker
{
  uint32_t id, rack, domain;
  int32_t accelerators, slots;
};

struct tr_plan
{
  uint32_t account;
  int64_t version;
  int shapes;
  struct dc_shape shape[DC_MAX_SHAPES];
};

struct tr_submit
{
  uint32_t job;
  struct dc_job_spec spec;
  int64_t actual_ms; /* run time of each task, not known to the scheduler */
  int fails;         /* fails after ACTUAL_MS on any worker */
};

struct tr_event
{
  enum tr_kind kind;
  int64_t at_ms;
  union
  {
    struct tr_worker worker;
    uint32_t worker_id; /* leaving, down, fails_all, heals */
    struct tr_plan plan;
    struct tr_submit submit;
    uint32_t job; /* cancel */
  } u;
};

struct tr_reader
{
  FILE *file;
  struct tr_tables *tables;
  char *line;
  size_t size;
  int64_t number; /* of the last line read, from 1 */
  int64_t now_ms;
  int64_t invalid_at_ms; /* time of an invalid line if it has one, else -1 */
  char reason[TR_REASON_SIZE];
};

/* Initializes READER, which borrows FILE and TABLES and adds the names that it
   reads to TABLES.  */
void tr_reader_init (struct tr_reader *reader, FILE *file,
                     struct tr_tables *tables);
void tr_reader_fini (struct tr_reader *reader);
/* Reads the next event.  Returns 1, 0 at the end of the file, TR_EINVAL or
   TR_EIO.  Blank lines are skipped.  */
int tr_read (struct tr_reader *reader, struct tr_event *event);

/* Writes EVENT as one line that tr_read accepts.  */
void tr_write_event (FILE *out, const struct tr_tables *tables,
                     const struct tr_event *event);
/* Writes ACTION as one line; its id is a handle of TABLES.  DC_ACT_STOP is not
   part of the format and is skipped.  */
void tr_write_action (FILE *out, const struct tr_tables *tables,
                      const struct dc_action *action);

/* An upper bound for what an account's jobs can use of its guarantee, by size
   class: class k has gangs of 2^(k-1) < n <= 2^k accelerators.  */
struct tr_usage
{
  int32_t blocks[TR_SIZE_CLASSES];  /* guaranteed blocks of 2^k */
  int32_t jobs[3][TR_SIZE_CLASSES]; /* running, queued urgent, queued bulk */
};

enum tr_stage
{
  TR_RUNNING,
  TR_QUEUED_URGENT,
  TR_QUEUED_BULK
};

struct tr_worker_state
{
  int32_t accelerators, held;
  int up, leaving, quarantined;
};

struct tr_class_samples
{
  GArray *completion_ms, *wait_ms; /* int64_t */
  GArray *slowdown;                /* double */
};

/* The measures of one run.  FRAGMENTED_MS counts usable free accelerators
   while the smallest queued gang needs no more than all of them.  */
struct tr_measures
{
  GArray *worker;     /* struct tr_worker_state, by handle */
  GArray *usage;      /* struct tr_usage, by account */
  GArray *queued;     /* int32_t, queued gangs by accelerators */
  int32_t min_queued; /* accelerators of the smallest queued gang, or 0 */
  int64_t last_ms;
  int64_t up, held, usable_free;        /* accelerators now */
  double up_ms, held_ms, fragmented_ms; /* accelerator-milliseconds */
  struct tr_class_samples class[2];
  GArray *reclaim_ms; /* int64_t */
  int64_t starts, preemptions;
  size_t peak_bytes;
};

void tr_measures_init (struct tr_measures *m);
void tr_measures_fini (struct tr_measures *m);
/* Advances to NOW_MS and adds the time since the last call, spent in the
   present state, to the totals.  */
void tr_measures_advance (struct tr_measures *m, int64_t now_ms);
/* Changes a worker's state.  If it is not up, it holds nothing.  */
void tr_measures_worker (struct tr_measures *m, uint32_t worker,
                         const struct tr_worker_state *use);
/* Returns the state of WORKER, valid until another worker is added.  */
struct tr_worker_state *tr_measures_worker_state (struct tr_measures *m,
                                                  uint32_t worker);
/* Marks COUNT more accelerators of WORKER as held; a negative COUNT frees
   them.  */
void tr_measures_hold (struct tr_measures *m, uint32_t worker, int32_t count);
/* Adds a gang of ACCELERATORS to the queue (CHANGE is 1) or removes it
   (-1).  */
void tr_measures_queue (struct tr_measures *m, int32_t accelerators,
                        int change);
/* Replaces the guarantee of an account.  */
void tr_measures_plan (struct tr_measures *m, const struct tr_plan *plan);
/* Adds a job of ACCELERATORS to a stage of its account (CHANGE is 1) or
   removes it (-1).  */
void tr_measures_count_job (struct tr_measures *m, uint32_t account,
                            enum tr_stage stage, int32_t accelerators,
                            int change);
/* Returns whether a new job fits its account's unused guarantee.  */
int tr_measures_fits_guarantee (const struct tr_measures *m,
                                const struct dc_job_spec *spec);
/* Records the first start of a job after WAIT_MS.  WITHIN tells whether it was
   within its account's guarantee when it was submitted.  */
void tr_measures_started (struct tr_measures *m, enum dc_class class,
                          int64_t wait_ms, int within);
/* Records the end of a job.  ACTUAL_MS is its run time, COMPLETION_MS the time
   since its submission.  */
void tr_measures_done (struct tr_measures *m, enum dc_class class,
                       int64_t completion_ms, int64_t actual_ms);
/* Writes the summary line.  */
void tr_write_summary (FILE *out, struct tr_measures *m, int64_t at_ms);

#endif
