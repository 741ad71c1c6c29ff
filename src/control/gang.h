/* One attempt of a job on its workers.  All parts are held before any runs,
   then all run, and at the end all are checkpointed, stopped or acknowledged.
   The state machine compares the wanted phase with the state that each worker
   has confirmed and returns the next order.  Orders are idempotent.  No I/O,
   no clock: times are monotonic milliseconds.  */
#ifndef CONTROL_GANG_H
#define CONTROL_GANG_H

#include <stdint.h>

#include "control/control.h"
#include "skr/decide.h"

enum wk_phase
{
  WK_HOLD, /* reserve every part; none runs */
  WK_RUN,
  WK_CHECKPOINT, /* checkpoint, then stop */
  WK_STOP        /* stop, then forget */
};

/* States of a part, in the order of its progress.  */
enum wk_state
{
  WK_NEW, /* nothing confirmed yet */
  WK_HELD,
  WK_RUNNING,
  WK_DONE,
  WK_FAILED,
  WK_CHECKPOINTED,
  WK_STOPPED,
  WK_GONE /* unknown to its worker, or the worker is down */
};

enum wk_order
{
  WK_ORDER_NONE,
  WK_ORDER_HOLD,
  WK_ORDER_RUN,
  WK_ORDER_CHECKPOINT,
  WK_ORDER_STOP,
  WK_ORDER_ACK
};

/* Result of an order.  */
enum wk_answer
{
  WK_OK,       /* carried out; the answer has the part's state */
  WK_BUSY,     /* an accelerator or slot is still in use: retry */
  WK_REFUSED,  /* not carried out; a refused hold is not repeated */
  WK_ABSENT,   /* the worker does not know the part */
  WK_NO_ANSWER /* no answer: the order may have been carried out */
};

enum
{
  /* First and longest delay before an order is repeated.  */
  WK_RETRY_MS = 100,
  WK_RETRY_MAX_MS = 2000,
  WK_BUSY_LIMIT_MS = 3000, /* a hold refused as busy for longer fails */
  /* The attempt fails unless all parts are held within this time.  */
  WK_HOLD_TIMEOUT_MS = 5000
};

/* What is known of a task's end, and whether it was reported to the decision
   layer.  */
enum wk_end_report
{
  WK_NOT_ENDED,
  WK_DONE_PENDING, /* ended before the decision layer was ready */
  WK_FAILED_PENDING,
  WK_END_REPORTED
};

/* The tasks of an attempt on one worker.  */
struct wk_part
{
  uint32_t worker;
  enum wk_state state;
  int first_task, tasks;      /* range in gang->tasks_by_part */
  int in_flight, orders_sent; /* an order is in flight; orders sent so far */
  int64_t retry_ms, confirmed_ms; /* earliest next order; last confirmation */
  int refused;                    /* the hold was refused or stayed busy */
  int unanswered;                 /* a hold was, so the worker may have it */
  int listed_tasks; /* number of its tasks in the list being processed */
  enum wk_state listed_state; /* lowest state of the listed tasks */
  int64_t progress_ms;        /* least progress of the listed tasks */
};

struct jb_job;

/* An attempt of a job.  */
struct wk_gang
{
  char job[CT_NAME];
  int32_t attempt;
  enum wk_phase phase;
  int64_t phase_since_ms;
  int may_ack; /* the end is written: the workers may be acknowledged */
  int parts, tasks;
  struct wk_part *part;
  int *tasks_by_part;          /* task numbers, grouped by part */
  struct dc_place *place;      /* indexed by task number */
  unsigned char *end_report;   /* enum wk_end_report, by task */
  struct wk_gang *next_of_job; /* next attempt of the same job */
  struct jb_job *owner;        /* NULL when the job is not in memory */
  int loss_noted;              /* its loss was accounted for */
  int preempted;               /* the decision layer ordered the checkpoint */
};

/* Initializes an attempt in phase WK_HOLD and groups its TASKS places by
   worker.  PLACE is copied.  Returns CT_OK or CT_ENOMEM.  */
int wk_init (struct wk_gang *g, const char *job, int32_t attempt, int tasks,
             const struct dc_place *place, int64_t now_ms);
/* Frees the memory of G, but not G.  */
void wk_fini (struct wk_gang *g);

/* Returns the part on WORKER, or NULL.  */
struct wk_part *wk_find_part (struct wk_gang *g, uint32_t worker);
/* Returns the order to send for P at NOW_MS, or WK_ORDER_NONE.  A part whose
   hold never reached its worker becomes WK_GONE in phase WK_STOP.  */
enum wk_order wk_next_order (struct wk_gang *g, struct wk_part *p,
                             int64_t now_ms);
/* Records that an order for P was sent.  */
void wk_note_order (struct wk_part *p);
/* Handles the answer to an order.  STATE is read for WK_OK only.  */
void wk_note_answer (struct wk_gang *g, struct wk_part *p, enum wk_order order,
                     enum wk_answer answer, enum wk_state state,
                     int64_t now_ms);
/* The worker listed the part in STATE; or it did not, in a list requested at
   REQUESTED_MS.  A list older than the last confirmation is ignored.  */
void wk_part_listed (struct wk_part *p, enum wk_state state, int64_t now_ms);
void wk_part_not_listed (struct wk_part *p, int64_t requested_ms);
/* Sets the part on WORKER to WK_GONE.  */
void wk_worker_down (struct wk_gang *g, uint32_t worker);
/* Sets the wanted phase and allows immediate orders.  */
void wk_set_phase (struct wk_gang *g, enum wk_phase phase, int64_t now_ms);

/* Whether every part, or at least one part, is in STATE.  */
int wk_all_in_state (const struct wk_gang *g, enum wk_state state);
int wk_any_in_state (const struct wk_gang *g, enum wk_state state);
/* Whether the parts can't all be held: one was refused, has ended or started,
   or the time limit has passed.  */
int wk_hold_failed (const struct wk_gang *g, int64_t now_ms);
/* Returns the state named TEXT in a worker's answer, or WK_NEW.  */
enum wk_state wk_parse_state (const char *text);

#endif
