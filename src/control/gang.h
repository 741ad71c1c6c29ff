/* One attempt of one job on its workers: holds every part, lets all run, and
   ends them.  It compares what is wanted with what each worker has confirmed
   and names the next order; every order may be repeated.  */
#ifndef CONTROL_GANG_H
#define CONTROL_GANG_H

#include <stdint.h>

#include "control/control.h"
#include "skr/decide.h"

enum wk_phase
{
  WK_HOLD, /* every part is to be held; none runs */
  WK_RUN,
  WK_CHECKPOINT, /* checkpoint, then stop */
  WK_STOP        /* stop and forget */
};

/* In the order in which a part goes through them.  */
enum wk_state
{
  WK_NEW, /* nothing confirmed */
  WK_HELD,
  WK_RUNNING,
  WK_DONE,
  WK_FAILED,
  WK_CHECKPOINTED,
  WK_STOPPED,
  WK_GONE /* forgotten by its worker, or its worker is down */
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

/* How an order was answered.  */
enum wk_answer
{
  WK_OK,       /* carried out; the part's state came with it */
  WK_BUSY,     /* a place is still taken: try again */
  WK_REFUSED,  /* not carried out and not to be tried again */
  WK_ABSENT,   /* the worker does not know the part */
  WK_NO_ANSWER /* no answer: it may have been carried out */
};

enum
{
  WK_RETRY_MS = 100,
  WK_RETRY_MAX_MS = 2000,
  WK_BUSY_LIMIT_MS = 3000, /* a place taken for longer ends the attempt */
  WK_HOLD_TIMEOUT_MS
  = 5000 /* all parts are held within this, or none is kept */
};

/* What is known of the end of a task.  */
enum wk_end_report
{
  WK_NOT_ENDED,
  WK_DONE_PENDING, /* while there was no decision layer to tell */
  WK_FAILED_PENDING,
  WK_END_REPORTED
};

struct wk_part
{
  uint32_t worker;
  enum wk_state state;
  int first_task, tasks; /* a run of gang->task */
  int in_flight, orders_sent;
  int64_t retry_ms, confirmed_ms;
  int refused;                /* the hold was refused for good */
  int listed_tasks;           /* tasks of it in the list being read */
  enum wk_state listed_state; /* state of these */
  int64_t progress_ms;        /* the least of these */
};

struct jb_job;

struct wk_gang
{
  char job[CT_NAME];
  int32_t attempt;
  enum wk_phase phase;
  int64_t phase_since_ms;
  int may_ack; /* the end is written: workers may forget it */
  int parts, tasks;
  struct wk_part *part;
  int *tasks_by_part;          /* task numbers, by part */
  struct dc_place *place;      /* by task number */
  unsigned char *end_report;   /* enum wk_end_report, by task */
  struct wk_gang *next_of_job; /* of the same job */
  struct jb_job *owner;        /* the job, or NULL when it is not in memory */
  int preempted; /* the checkpoint was the decision layer's wish */
};

/* Groups TASKS places by worker.  Returns 0 or CT_ENOMEM.  */
int wk_init (struct wk_gang *g, const char *job, int32_t attempt, int tasks,
             const struct dc_place *place, int64_t now_ms);
void wk_fini (struct wk_gang *g);

struct wk_part *wk_find_part (struct wk_gang *g, uint32_t worker);
enum wk_order wk_next_order (struct wk_gang *g, struct wk_part *p,
                             int64_t now_ms);
void wk_note_order (struct wk_part *p);
/* STATE is read for WK_OK only.  */
void wk_note_answer (struct wk_gang *g, struct wk_part *p, enum wk_order order,
                     enum wk_answer answer, enum wk_state state,
                     int64_t now_ms);
/* The worker listed the part; or it did not, in a list asked for at
   ASKED_MS.  */
void wk_part_listed (struct wk_part *p, enum wk_state state, int64_t now_ms);
void wk_part_not_listed (struct wk_part *p, int64_t asked_ms);
void wk_worker_down (struct wk_gang *g, uint32_t worker);
void wk_set_phase (struct wk_gang *g, enum wk_phase phase, int64_t now_ms);

int wk_all_in_state (const struct wk_gang *g, enum wk_state state);
int wk_any_in_state (const struct wk_gang *g, enum wk_state state);
/* Whether the attempt to hold has failed.  */
int wk_hold_failed (const struct wk_gang *g, int64_t now_ms);
enum wk_state wk_parse_state (const char *text);

#endif
