/* Tasks under leases: the part of each gang that one worker holds.  No I/O
   and no clock of its own.  */
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
  SW_EEPOCH = -922, /* an older epoch than one seen */
  SW_EBUSY = -923,  /* an accelerator or slot is taken */
  SW_ENOENT = -924  /* no such gang */
};

enum sw_state
{
  SW_HELD,
  SW_RUNNING,
  SW_CHECKPOINTING, /* shown as running */
  SW_DONE,
  SW_FAILED,
  SW_CHECKPOINTED,
  SW_STOPPED
};

/* The tasks of one job on this worker; they run and end together.  */
struct sw_gang
{
  char *cell, *job;
  int64_t attempt;
  enum sw_state state;
  int64_t lease_until, ready_ms; /* checkpoint is ready */
  int64_t run_ms;
  double progress_ms;
  int64_t percent; /* of full speed */
  int fails;
  uint64_t accelerators; /* of all tasks, bit i: accelerator i */
  int slots;             /* of tasks without an accelerator */
  json_t *tasks;         /* as ordered */
  json_t *payload;
  unsigned first_entry; /* of the journal; one for each task */
};

struct sw_gangs
{
  GPtrArray *list;
  GHashTable *epochs; /* cell to int64_t, the highest seen */
  struct sw_journal *journal;
  int accelerators, slots;
  int64_t checkpoint_ms;
  int calls;       /* slots that calls take */
  int fail_all;    /* each task fails as it starts */
  int hold;        /* no task ends by itself */
  int64_t last_ms; /* of the last tick */
};

void sw_gangs_init (struct sw_gangs *gangs, struct sw_journal *journal);
void sw_gangs_fini (struct sw_gangs *gangs);
/* Refuses an epoch lower than one seen, and notes a higher one.  */
int sw_epoch (struct sw_gangs *gangs, const char *cell, int64_t epoch);
int64_t sw_epoch_seen (const struct sw_gangs *gangs, const char *cell);
struct sw_gang *sw_find (const struct sw_gangs *gangs, const char *job,
                         int64_t attempt);
/* Holds the gang of ORDER, or finds it held or further on already.  */
int sw_hold (struct sw_gangs *gangs, json_t *order, int64_t now_ms,
             struct sw_gang **out);
void sw_run (struct sw_gangs *gangs, struct sw_gang *gang);
void sw_checkpoint (struct sw_gangs *gangs, struct sw_gang *gang,
                    int64_t now_ms);
void sw_stop (struct sw_gangs *gangs, struct sw_gang *gang);
/* Forgets an ended gang.  */
void sw_ack (struct sw_gangs *gangs, struct sw_gang *gang);
/* Extends the leases of CELL; returns how many gangs.  */
int sw_renew (struct sw_gangs *gangs, const char *cell, int64_t until_ms);
/* Moves running gangs on and ends lapsed leases.  FROZEN only takes the
   time.  */
void sw_tick (struct sw_gangs *gangs, int64_t now_ms, int frozen);
int sw_slots_used (const struct sw_gangs *gangs);
uint64_t sw_accelerators_used (const struct sw_gangs *gangs);
/* Gangs held or running; those ended and not acknowledged to *ENDED.  */
int sw_active (const struct sw_gangs *gangs, int *ended);
const char *sw_state_name (const struct sw_gang *gang);
/* Appends each task of GANG to LIST.  */
void sw_describe (const struct sw_gang *gang, json_t *list);

#endif
