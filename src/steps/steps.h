/* State of the decisions about jobs of steps; private to src/steps.  */
#ifndef SKR_STEPS_STATE_H
#define SKR_STEPS_STATE_H

#include <glib.h>

#include "skr/steps.h"

struct unit;

/* Where one task of a unit's present run is.  */
enum member_state
{
  MB_PLANNED,  /* its record is not stored yet; nothing was sent */
  MB_ORDERED,  /* start sent, not answered */
  MB_RUNNING,  /* the worker took it */
  MB_STOPPING, /* stop wanted or sent; it still takes room */
  MB_ENDED     /* takes no room any more */
};

struct member
{
  struct unit *unit;
  struct worker *worker;
  int index; /* of the task in its step */
  enum member_state state;
  int adopted;        /* known from a record only, not from the worker */
  int start_settled;  /* the start was answered, or never sent */
  int64_t settled_ms; /* when that was; a listing asked for later shows it */
  int stop_taken;
  int64_t stop_ms;       /* of the last stop */
  int64_t stop_taken_ms; /* a listing asked for later shows its effect */
  int percent;
  int64_t progress_ms; /* when PERCENT last rose */
  int64_t last_listed_ms;
  int64_t started_ms;
  int mark_percent, pace; /* percent of the declared pace; -1 not known */
  int64_t mark_ms;
};

enum unit_state
{
  UN_READY,
  UN_ACTIVE, /* planned, ordered or running */
  UN_ENDING, /* given up; waits until no member takes room */
  UN_DONE
};

/* What starts together: a gang, or a single task.  */
struct unit
{
  struct job *job;
  int occurrence, step, first, count;
  enum unit_state state;
  int64_t run; /* number of the present or last run */
  int failures;
  char checkpoint[SJ_CHECKPOINT];
  struct member *member; /* COUNT of them while ACTIVE or ENDING */
  GPtrArray *avoid;      /* ids of workers where it failed */
  int64_t ready_ms;
  int far;             /* runs away from its data or over racks */
  int moved;           /* from a worker where it stood still or was slow */
  enum sj_cause cause; /* why its run was given up */
  int stored_run;      /* 1: its run is in a record being stored, 2: stored */
};

struct occurrence
{
  int number;
  int *step_left; /* units not done, for each step; -1: not expanded */
  int steps_left;
};

struct job
{
  struct sj_job *spec;
  enum sj_state state, stored_state, commit_state;
  GPtrArray *occurrence; /* struct occurrence, the open ones */
  GPtrArray *unit;       /* struct unit that are not done */
  int next_occurrence;   /* first one not opened */
  int occurrences_done;
  int64_t accepted_ms;            /* on this process's clock */
  int64_t chain_ms, accelerators; /* widest step, for the guarantee */
  int begun;
  int dirty, in_commit;
  int rank; /* of the present decision */
};

struct worker
{
  char *id, *service, *kind, *rack;
  int64_t life;
  struct sj_need capacity, used;
  struct sj_need free, soon; /* of the present decision */
  struct sj_need kept;       /* for units that wait, from KEPT_MS on */
  int64_t kept_ms;           /* 0: nothing is kept */
  int listed, draining, reachable, surveyed;
  int strangers; /* runs listed there that no unit stands for */
  int64_t drain_end_ms;
  int64_t lease_until_ms, added_ms;
  GPtrArray *member; /* struct member that take room */
  int failures;      /* in a row, of different jobs */
  char last_failed[SJ_ID];
  int64_t suspect_until_ms;
  int64_t slow_ms; /* when a run there was last seen to be slow; 0: sound */
};

struct sj_cluster
{
  struct sj_settings set;
  sj_do_order *do_order;
  void *arg;
  GHashTable *workers, *jobs, *guarantee;
  GPtrArray *worker_list, *job_list;
  int changed; /* since the last decision */
  int64_t now, decided_ms, watched_ms;
};

enum
{
  RANK_GUARANTEED, /* priority 0 within the account's guarantee */
  RANK_URGENT,     /* priority 0 beyond it */
  RANK_BATCH       /* priority 1; later ones follow */
};

/* need.c */
void nd_add (struct sj_need *a, const struct sj_need *b);
void nd_sub (struct sj_need *a, const struct sj_need *b);
int nd_fits (const struct sj_need *need, const struct sj_need *room);
/* How many of NEED fit into ROOM, at most MAX.  */
int nd_times (const struct sj_need *need, const struct sj_need *room, int max);
/* What a filler takes of a worker's capacity, or any other task.  */
struct sj_need nd_of_step (const struct sj_step *step);
/* Core-milliseconds weight: an accelerator counts as eight cores.  */
int64_t nd_weight (const struct sj_need *need);

/* worker.c */
struct worker *wo_find (struct sj_cluster *c, const char *id);
void wo_free (void *worker);
/* The task takes room there from now on, or no more.  */
void wo_occupy (struct member *m);
void wo_release (struct member *m);
/* May take starts at all.  */
int wo_usable (const struct sj_cluster *c, const struct worker *w);
/* Drops the worker once it is off the list and nothing is left there.  */
void wo_collect (struct sj_cluster *c);

/* job.c */
const struct sj_step *un_step (const struct unit *u);
/* Units of one step of one occurrence.  */
int un_same_step (const struct unit *a, const struct unit *b);
struct job *jb_find (struct sj_cluster *c, const char *id);
void jb_free (void *job);
int jb_ended (const struct job *j);
void jb_mark (struct job *j);
struct occurrence *jb_open (struct job *j, int number);
struct unit *jb_new_unit (struct job *j, int occurrence, int step, int first,
                          int64_t now);
void jb_open_due (struct sj_cluster *c, struct job *j, int64_t now,
                  int64_t wall_ms);
void jb_unit_done (struct sj_cluster *c, struct unit *u, int64_t now);
void jb_finish (struct sj_cluster *c, struct job *j, enum sj_state state,
                int64_t now);

/* run.c */
/* Plans a run of U; PLACE has a worker for each task.  */
void ru_plan (struct unit *u, struct worker **place, int far, int64_t now);
void ru_send (struct sj_cluster *c, struct unit *u, int64_t now);
/* Stops all that is left of the run, which ends without success.  */
void ru_abort (struct sj_cluster *c, struct unit *u, enum sj_cause cause,
               int64_t now);
void ru_stop_member (struct sj_cluster *c, struct member *m, int64_t now);
/* The member takes no room any more.  */
void ru_member_gone (struct sj_cluster *c, struct member *m, int64_t now);
void ru_member_end (struct sj_cluster *c, struct member *m,
                    const struct sj_listed *end, int64_t now);
/* Later runs of U go elsewhere.  */
void ru_avoid (struct unit *u, const char *worker);
void ru_take_checkpoint (struct unit *u, const char *checkpoint);
/* Whether RUN is the present one of M.  */
int ru_names (const struct sj_run *run, const struct member *m);
struct member *ru_find (const struct worker *w, const struct sj_run *run);
struct unit *ru_unit (struct sj_cluster *c, const struct sj_run *run);

/* record.c */
json_t *rc_write (const struct job *j);
int rc_read (struct sj_cluster *c, struct job *j, const json_t *record,
             int64_t now);

/* place.c */
/* Fills PLACE for each task of U from the workers' FREE or, if SOON, from
   what will be free once stops under way have ended.  *FAR tells whether it
   runs slowly there.  Returns 1 if it fits.  */
int pl_place (struct sj_cluster *c, struct unit *u, int soon, int allow_far,
              struct worker **place, int *far);
int pl_allows (const struct sj_cluster *c, const struct unit *u,
               const struct worker *w);
/* Tasks of U that one worker may have.  */
int pl_limit (const struct unit *u);
/* Whether a rack could hold all of U were it empty.  */
int pl_rack_could (const struct sj_cluster *c, const struct unit *u);
/* Racks that U may be bound to: that of its data, or all; the caller's.  */
GPtrArray *pl_racks (const struct sj_cluster *c, const struct unit *u);
/* No other unit of this round may have the room of PLACE.  */
void pl_reserve (const struct unit *u, struct worker **place);

/* Whether all of U must lie in one rack, or it is slow.  */
int pl_is_bound (const struct unit *u);

/* keep.c */
/* Keeps the workers that are free soonest for TASKS tasks of U's step.
   Returns 0 when none can be foreseen.  */
int ke_keep (struct sj_cluster *c, const struct unit *u, int tasks);

/* preempt.c */
/* Stops work of lower rank so that U fits, and reserves the room.  Returns 1
   if there was a way.  */
int pr_make_room (struct sj_cluster *c, struct unit *u, int allow_far,
                  int64_t now);

/* health.c */
void he_ended (struct sj_cluster *c, struct worker *w, struct unit *u,
               enum sj_end end, int64_t now);
void he_progress (const struct sj_cluster *c, struct member *m, int percent,
                  int64_t now);
/* All that was seen there lately ran far below its declared pace.  */
int he_is_slow (const struct sj_cluster *c, const struct worker *w);
/* What is left of M's run, whose whole run time is RUN_MS.  */
int64_t he_left_ms (int64_t run_ms, const struct member *m);
/* Run time of the whole task to expect where M runs.  */
int64_t he_run_ms (const struct sj_cluster *c, const struct member *m);
/* Moves runs that stand still or go too slowly.  */
void he_watch (struct sj_cluster *c, int64_t now);

#endif
