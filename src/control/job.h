/* A job of a cell in memory, and the conversion from and to its row.  */
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
  JB_DONE, /* this and the following states are final */
  JB_FAILED,
  JB_CANCELLED,
  JB_UNKNOWN,
  JB_REFUSED
};

enum
{
  JB_NO_HANDLE = UINT32_MAX
};

/* Placement of an attempt as reported by workers.  */
struct jb_reported
{
  int tasks_found;          /* number of tasks with a known place */
  struct dc_place *place;   /* indexed by task */
  unsigned char *has_place; /* indexed by task: the place is known */
};

struct jb_job
{
  char id[CT_NAME];
  char account[CT_NAME];
  /* The row's JSON value as last read or written, as text: the parsed form
     takes several times the memory.  */
  char *row_text;
  int64_t version; /* version of the row as last read or written */
  enum jb_state state;
  struct dc_job_spec spec; /* the account's handle is not set */
  int32_t attempt;         /* last attempt started */
  /* Offset added to the attempt numbers of the decision layer.  */
  int32_t attempt_base;
  /* Highest attempt number reported by a worker.  */
  int32_t max_reported_attempt;
  /* Attempt that has started according to a worker, but not to the row.  */
  int32_t reported_attempt;
  /* Placement of reported_attempt, or NULL.  */
  struct jb_reported *reported;
  /* Number of the current attempt in the decision layer.  */
  int32_t decide_attempt;
  int32_t lost_attempts; /* that ended with a worker, see cell_loss.c */
  int64_t progress_ms;   /* progress at the last checkpoint */
  int64_t submitted_ms;  /* wall clock; used for ordering only */
  int64_t submit_at_ms; /* earliest time of submission to the decision layer */
  uint32_t handle;      /* JB_NO_HANDLE: not submitted to the decision layer */
  int cancel;
  struct wk_gang *gang;  /* current attempt, or NULL */
  json_t *results;       /* array indexed by task */
  int dirty, writing;    /* the row must be written; its write is in flight */
  int in_queue;          /* queued in cl_cell.dirty */
  int changed_in_flight; /* changed while its write was in flight */
  int stale;             /* the table's row has ended or moved */
  int restored; /* the row has not been read since the table was restored */
  const char *move_to;  /* cell to move to, or NULL */
  int64_t move_version; /* version of the row in that cell; 0: absent */
  int already_moved;    /* that row is this job already */
  /* Since when the job exceeds the capacity of its cell, or 0; see
     relocate.h.  */
  int64_t unfit_since_ms;
};

/* Creates a job from the row ID with VALUE, of which it stores a copy.
   Returns NULL and sets *ERROR to CT_EINVAL for an invalid row or to
   CT_ENOMEM.  */
struct jb_job *jb_new (const char *id, json_t *value, int64_t version,
                       int *error);
/* Frees JOB, which may be NULL.  */
void jb_free (struct jb_job *job);

/* Returns the row's value as a new reference.  Aborts if memory runs out.  */
json_t *jb_parse_row (const struct jb_job *job);
/* Sets FIELDS in the row and releases the reference to FIELDS.  */
void jb_update_row (struct jb_job *job, json_t *fields);

/* Whether the state of JOB is final.  */
int jb_has_ended (const struct jb_job *job);
/* Returns the name of STATE in rows.  */
const char *jb_state_name (enum jb_state state);
/* Returns the state named TEXT, or JB_QUEUED.  */
enum jb_state jb_parse_state (const char *text);

/* Sets the job's state and updates its row and the end time.  REASON may be
   NULL.  */
void jb_set_state (struct jb_job *job, enum jb_state state,
                   const char *reason);
/* Writes the placement of GANG to the row.  WORKER_NAME is called with ARG and
   returns the name of a worker handle.  */
void jb_set_placement (struct jb_job *job, const struct wk_gang *gang,
                       const char *(*worker_name) (void *arg, uint32_t),
                       void *arg);
/* Records the result of TASK.  RESULT may be NULL; a reference is taken.  */
void jb_set_result (struct jb_job *job, int task, json_t *result);
/* Returns a new value for the row that stays in the old cell, for those who
   look for the job there.  It has no state: only the row in the new cell has
   one.  */
json_t *jb_moved_row (const struct jb_job *job);
/* Whether VALUE is the row of a job that ended at least KEEP_MS before
   WALL_MS.  */
int jb_is_expired (const json_t *value, int64_t wall_ms, int64_t keep_ms);
/* Whether VALUE is the row of a job that has not ended.  */
int jb_is_live (const json_t *value);
/* Records that a worker reports TASK of ATTEMPT as started, although the row
   does not mention the attempt.  Returns 1 when the places of all tasks have
   become known.  */
int jb_note_task_started (struct jb_job *job, int32_t attempt, int task,
                          const struct dc_place *place);
/* Merges the only field that others write, the cancellation, from a newer
   VALUE.  */
void jb_merge_row (struct jb_job *job, const json_t *value, int64_t version);

#endif
