/* Tasks under leases: the part of each gang that runs on one worker.  The
   module reads no clock, and its only I/O is the journal.  */
#ifndef WORKER_GANGS_H
#define WORKER_GANGS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "journal.h"

enum sw_error
{
  SW_OK = 0,
  SW_EINVAL = -921, /* malformed order */
  SW_EEPOCH = -922, /* an epoch lower than the highest one seen */
  SW_EBUSY = -923,  /* an accelerator or slot is in use */
  SW_ENOENT = -924  /* no such gang */
};

/* The states up to SW_CHECKPOINTING use accelerators and slots.  */
enum sw_state
{
  SW_HELD, /* resources are reserved, but no task has started */
  SW_RUNNING,
  SW_CHECKPOINTING, /* reported as running */
  SW_DONE,
  SW_FAILED,
  SW_CHECKPOINTED,
  SW_STOPPED
};

/* The tasks of one attempt of a job on this worker.  They start and end
   together.  */
struct sw_gang
{
  char *cell, *job;
  int64_t attempt;
  enum sw_state state;
  int64_t lease_end_ms;    /* ms, end of the lease */
  int64_t checkpointed_ms; /* end of a checkpoint in progress */
  int64_t run_ms;          /* run time at full speed */
  double progress_ms;      /* of run_ms, so far */
  int64_t percent;         /* of full speed */
  int fails;               /* the tasks end as failed */
  int crashes;             /* they end the process */
  uint64_t accelerators;   /* of all tasks, bit i: accelerator i */
  int slots;               /* of tasks without an accelerator */
  json_t *tasks;           /* from the order */
  json_t *payload;
  unsigned first_journal_entry; /* journal entry of the first task */
};

struct sw_gangs
{
  GPtrArray *list;
  GHashTable *epochs; /* cell to the highest epoch seen, an int64_t */
  struct sw_journal *journal;
  int accelerators, slots; /* capacity of the worker */
  int64_t checkpoint_ms;   /* duration of a checkpoint */
  int calls;               /* slots used by calls */
  int fail_all;            /* every running task fails at the next tick */
  int hold;                /* no task finishes by itself */
  int64_t ticked_ms;       /* time of the last tick */
};

/* Initializes GANGS without capacity.  JOURNAL must outlive it.  */
void sw_gangs_init (struct sw_gangs *gangs, struct sw_journal *journal);
void sw_gangs_fini (struct sw_gangs *gangs);
/* Records EPOCH as the highest one of CELL.  Returns SW_EEPOCH when a higher
   one has been seen.  */
int sw_observe_epoch (struct sw_gangs *gangs, const char *cell, int64_t epoch);
/* Returns the highest epoch seen of CELL, or 0.  */
int64_t sw_highest_epoch (const struct sw_gangs *gangs, const char *cell);
/* Returns the gang of an attempt of JOB, or NULL.  */
struct sw_gang *sw_find_gang (const struct sw_gangs *gangs, const char *job,
                              int64_t attempt);
/* Reserves the resources of the gang of ORDER and returns it in *OUT.  When
   the gang exists already, in any state, returns that one unchanged.  */
int sw_reserve (struct sw_gangs *gangs, json_t *order, int64_t now_ms,
                struct sw_gang **out);
/* Starts the tasks of a held gang; no effect in other states.  */
void sw_start (struct sw_gangs *gangs, struct sw_gang *gang);
/* Starts a checkpoint of a running gang, which ends it.  A held gang ends at
   once.  */
void sw_checkpoint (struct sw_gangs *gangs, struct sw_gang *gang,
                    int64_t now_ms);
/* Ends an active gang without a checkpoint.  */
void sw_stop (struct sw_gangs *gangs, struct sw_gang *gang);
/* Removes and frees GANG if it has ended.  */
void sw_acknowledge (struct sw_gangs *gangs, struct sw_gang *gang);
/* Sets the end of all leases of CELL to UNTIL_MS.  Returns how many active
   gangs were renewed.  */
int sw_renew (struct sw_gangs *gangs, const char *cell, int64_t until_ms);
/* Advances the running gangs to NOW_MS and ends gangs whose lease has expired.
   When FROZEN is set, the time passes without either.  */
void sw_gangs_tick (struct sw_gangs *gangs, int64_t now_ms, int frozen);
/* Returns the slots in use by calls and active gangs.  */
int sw_slots_used (const struct sw_gangs *gangs);
/* Returns the accelerators in use, bit i for accelerator i.  */
uint64_t sw_accelerators_used (const struct sw_gangs *gangs);
/* Returns the number of active gangs, and in *ENDED that of gangs that ended
   and are not acknowledged.  */
int sw_count_active (const struct sw_gangs *gangs, int *ended);
/* Returns the state as it is reported to the scheduler.  */
const char *sw_state_name (const struct sw_gang *gang);
/* Appends a description of each task of GANG to the array LIST.  */
void sw_describe_tasks (const struct sw_gang *gang, json_t *list);

#endif
