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
  WK_OK,      /* carried out; the part's state came with it */
  WK_BUSY,    /* a place is still taken: try again */
  WK_REFUSED, /* not carried out and not to be tried again */
  WK_ABSENT,  /* the worker does not know the part */
  WK_SILENT   /* no answer: it may have been carried out */
};

enum
{
  WK_RETRY_MS = 100,
  WK_RETRY_MAX_MS = 2000,
  WK_BUSY_MS = 3000, /* a place taken for longer ends the attempt */
  WK_HOLD_MS = 5000  /* all parts are held within this, or none is kept */
};

/* What is known of the end of a task.  */
enum wk_told
{
  WK_NOT_ENDED,
  WK_SEEN_DONE, /* while there was no decision layer to tell */
  WK_SEEN_FAILED,
  WK_TOLD
};

struct wk_part
{
  uint32_t worker;
  enum wk_state state;
  int first, tasks; /* a run of gang->task */
  int in_flight, tries;
  int64_t retry_ms, confirmed_ms;
  int refused;          /* the hold was refused for good */
  int listed;           /* tasks of it in the list being read */
  enum wk_state lowest; /* state of these */
  int64_t progress_ms;  /* the least of these */
};

struct jb_job;

struct wk_gang
{
  char job[CT_NAME];
  int32_t attempt;
  enum wk_phase phase;
  int64_t since_ms;
  int may_ack; /* the end is written: workers may forget it */
  int parts, tasks;
  struct wk_part *part;
  int *task;              /* task numbers, by part */
  struct dc_place *place; /* by task number */
  unsigned char *told;    /* enum wk_told, by task */
  struct wk_gang *next;   /* of the same job */
  struct jb_job *owner;   /* the job, or NULL when it is not in memory */
  int preempted;          /* the checkpoint was the decision layer's wish */
};

/* Groups TASKS places by worker.  Returns 0 or CT_ENOMEM.  */
int wk_init (struct wk_gang *g, const char *job, int32_t attempt, int tasks,
             const struct dc_place *place, int64_t now_ms);
void wk_fini (struct wk_gang *g);

struct wk_part *wk_find_part (struct wk_gang *g, uint32_t worker);
enum wk_order wk_next (struct wk_gang *g, struct wk_part *p, int64_t now_ms);
void wk_sent (struct wk_part *p);
/* STATE is read for WK_OK only.  */
void wk_answered (struct wk_gang *g, struct wk_part *p, enum wk_order order,
                  enum wk_answer answer, enum wk_state state, int64_t now_ms);
/* The worker listed the part; or it did not, in a list asked for at
   ASKED_MS.  */
void wk_reported (struct wk_part *p, enum wk_state state, int64_t now_ms);
void wk_not_reported (struct wk_part *p, int64_t asked_ms);
void wk_worker_down (struct wk_gang *g, uint32_t worker);
void wk_set_phase (struct wk_gang *g, enum wk_phase phase, int64_t now_ms);

int wk_all (const struct wk_gang *g, enum wk_state state);
int wk_any (const struct wk_gang *g, enum wk_state state);
/* Whether the attempt to hold has failed.  */
int wk_hold_failed (const struct wk_gang *g, int64_t now_ms);
enum wk_state wk_parse_state (const char *text);

#endif
