/* The jobs of one cell in memory, and their rows.  */
#ifndef CONTROL_JOB_H
#define CONTROL_JOB_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "control/control.h"
#include "control/gang.h"
#include "skr/decide.h"

enum jb_state
{
  JB_QUEUED,
  JB_RUNNING,
  JB_DONE, /* this and what follows are ends */
  JB_FAILED,
  JB_CANCELLED,
  JB_UNKNOWN,
  JB_REFUSED
};

enum
{
  JB_NO_HANDLE = UINT32_MAX
};

/* An attempt as workers tell of it.  */
struct jb_reported
{
  int tasks_found;          /* tasks with a place */
  struct dc_place *place;   /* by task */
  unsigned char *has_place; /* by task: it has a place */
};

struct jb_job
{
  char id[CT_NAME];
  char account[CT_NAME];
  /* The row's value as last read or made, as text: parsed it takes several
     times the room.  */
  char *row_text;
  int64_t version; /* of the row as last read or written */
  enum jb_state state;
  struct dc_job_spec spec; /* without the account's handle */
  int32_t attempt;         /* the last one given out */
  int32_t attempt_base;    /* what the decision layer's attempts start after */
  int32_t max_reported_attempt; /* the highest that a worker has spoken of */
  int32_t
      reported_attempt; /* one that began by a worker's word, not the row's */
  struct jb_reported *reported; /* what workers said of that one, or NULL */
  int32_t decide_attempt; /* its current attempt, by the decision layer */
  int64_t progress_ms;    /* of the last checkpoint */
  int64_t submitted_ms;   /* wall clock, for the order only */
  int64_t submit_at_ms;   /* not given to the decision layer before */
  uint32_t handle;        /* JB_NO_HANDLE: not with the decision layer */
  int cancel;
  struct wk_gang *gang;  /* the current attempt, or NULL */
  json_t *results;       /* array by task */
  int dirty, writing;    /* the row is to be written, is on its way */
  int in_queue;          /* of rows to be written */
  int changed_in_flight; /* it changed while it was on its way */
  int stale;             /* the table has another state of it */
  int restored;         /* its row is not known since the table was put back */
  const char *move_to;  /* the cell that it is handed to, or NULL */
  int64_t move_version; /* of the row there; 0: absent */
  int already_moved;    /* that row is the job already */
  int64_t
      unfit_since_ms; /* since when its cell does not hold it; see home.h */
};

/* Reads a row and keeps a copy of VALUE.
   Returns NULL for one without an account, tasks and the like:
   CT_EINVAL in *ERROR, or CT_ENOMEM.  */
struct jb_job *jb_new (const char *id, json_t *value, int64_t version,
                       int *error);
void jb_free (struct jb_job *job);

/* The row's value, parsed anew: a new reference.  */
json_t *jb_parse_row (const struct jb_job *job);
/* Sets the fields of FIELDS in the row; takes over the reference.  */
void jb_update_row (struct jb_job *job, json_t *fields);

int jb_has_ended (const struct jb_job *job);
const char *jb_state_name (enum jb_state state);
enum jb_state jb_parse_state (const char *text);

/* Brings the row's value up to the job's state.  REASON may be NULL.  */
void jb_set_state (struct jb_job *job, enum jb_state state,
                   const char *reason);
/* Notes the attempt that runs; WORKER_NAME gives the name of a handle.  */
void jb_set_placement (struct jb_job *job, const struct wk_gang *gang,
                       const char *(*worker_name) (void *arg, uint32_t),
                       void *arg);
void jb_set_result (struct jb_job *job, int task, json_t *result);
/* The row that stays behind for those who know the job by this cell.  It has
   no state: only the row in the other cell has.  A new value.  */
json_t *jb_moved_row (const struct jb_job *job);
/* Whether VALUE is the row of a job that ended KEEP_MS before WALL_MS.  */
int jb_is_expired (const json_t *value, int64_t wall_ms, int64_t keep_ms);
/* Whether VALUE is a row of a job that this cell still has to do with.  */
int jb_is_live (const json_t *value);
/* Notes that a worker has begun TASK of ATTEMPT, which the row does not know
   of. Returns 1 when this was the last one missing.  */
int jb_note_task_started (struct jb_job *job, int32_t attempt, int task,
                          const struct dc_place *place);
/* Takes over what others may write, the cancellation, from a newer VALUE.  */
void jb_merge_row (struct jb_job *job, const json_t *value, int64_t version);

#endif
