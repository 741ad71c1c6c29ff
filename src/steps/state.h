/* Internal state of the job scheduler; private to src/steps.  */
#ifndef SKR_STEPS_STATE_H
#define SKR_STEPS_STATE_H

#include <glib.h>

#include "skr/headroom.h"
#include "skr/share.h"
#include "skr/speed.h"
#include "skr/steps.h"

struct unit;

/* State of one task in its unit's current run.  */
enum member_state
{
  MB_PLANNED,  /* record not stored yet; no start sent */
  MB_STARTING, /* start sent, no answer yet */
  MB_RUNNING,  /* the worker accepted the start or lists the run */
  MB_STOPPING, /* stop sent; still occupies capacity */
  MB_ENDED     /* no longer occupies capacity */
};

/* One task of a unit's current run.  Once it has ended, its worker is NULL, as
   that may be removed from the table or unknown to the next holder, and of the
   rest only unit, index, from_record, start_sent and start_refused are kept.
   ru_end_member sees to it and sj_check checks it.  An active unit has no
   ended member.  */
struct member
{
  struct unit *unit;
  struct worker *worker;
  int index; /* of the task in its step */
  enum member_state state;
  int from_record;     /* restored from a stored record */
  int life_tag;        /* of the worker's incarnation it was planned for; 0:
                          unknown */
  int capacity_serial; /* of its worker when it was planned; 0: before that */
  int start_sent;      /* the worker may have executed the start */
  int start_open;      /* a try had no answer: it may be executed later */
  int start_refused;   /* the worker has not executed it and never will */
  int start_resolved;  /* start answered, or its run listed */
  int64_t start_resolved_ms; /* a listing requested later shows the outcome */
  int stop_pending;          /* a stop has no outcome yet */
  int stop_acked;            /* the worker accepted a stop */
  int64_t stop_first_ms;     /* when a stop was first sent */
  int is_overdue_noted;      /* the log names it */
  int64_t stop_sent_ms;      /* when a stop was last sent */
  int64_t stop_acked_ms;     /* a listing requested later shows its effect */
  int progress_percent;      /* as last listed */
  int64_t last_progress_ms;  /* when progress_percent last rose */
  int64_t last_listed_ms;    /* 0: never listed as running */
  int64_t started_ms;
  /* Pace relative to the declared one; -1: unknown, 0: not sampled yet or
     no progress.  It is sampled from pace_base_percent at pace_base_ms on.  */
  int pace_base_percent, pace_percent;
  int64_t pace_base_ms;
  int pace_resolution; /* pace that one percent in the sample is */
  /* Average pace since average_base_ms, as above; 0: unknown.  */
  double average_pace;
  int average_base_percent;
  int64_t average_base_ms; /* 0: it has not advanced yet */
  unsigned rated : 1;      /* its run time is in the ratios */
  unsigned slow_kept : 1;  /* noted as slow and not moved */
};

enum unit_state
{
  UN_READY,
  UN_ACTIVE,   /* members are planned, starting or running */
  UN_STOPPING, /* run aborted; waits until all members have ended */
  UN_DONE
};

/* Values of unit.run_commit.  */
enum run_commit
{
  RUN_NOT_STORED,
  RUN_IN_COMMIT, /* the run is in a record that is being stored */
  RUN_STORED
};

/* A worker that crashed under a task.  */
struct crash
{
  int index;        /* of the task in its step */
  int is_certain;   /* the task is known to have run there */
  int is_explained; /* by another task that was given up */
  int64_t event;    /* serial of the worker's crash; 0: from a record */
};

/* A run that counts as ended because its worker's lease has expired.  It is
   not known whether the worker has crashed.  */
struct unresolved_loss
{
  int index;      /* of the task in its step */
  int is_certain; /* as in struct crash */
  int life_tag;   /* of the worker's incarnation */
  char *worker;   /* its id */
  int64_t lost_ms;
};

/* The tasks that start together: a whole gang, or a single task.  */
struct unit
{
  struct job *job;
  int occurrence, step;
  int first, count; /* tasks of the step: index of the first, number */
  enum unit_state state;
  int64_t run_number;       /* number of the current or last run */
  int failures;             /* failed runs */
  int64_t failed_run;       /* number of the last of them */
  char *checkpoint;         /* to resume from; NULL: none */
  int64_t noted_checkpoint; /* number of the run whose checkpoint was noted as
                               not kept */
  struct member *members;   /* COUNT of them in a run, else NULL */
  GPtrArray *avoided_workers; /* ids of workers it must not run on again */
  GArray *crashes;            /* struct crash; NULL: none */
  GArray *unresolved;         /* struct unresolved_loss; NULL: none */
  int stalls;                 /* moves because it stalled */
  int refusals;               /* starts refused in a row */
  int64_t not_before_ms;      /* it waits until then after a refusal */
  int64_t last_run;           /* no run has a higher number; 0: no limit */
  int64_t ready_ms;           /* since when it waits for a start */
  int off_rack;             /* slow: away from its data or spread over racks */
  int moved;                /* was moved once off a stalled or slow worker */
  enum sj_cause stop_cause; /* why its run was aborted */
  int run_commit;           /* an enum run_commit */
  int victim_of;            /* serial of the last plan to stop it */
  int fast_waiting;         /* noted as waiting for a fast worker */
  /* Estimates of victim.c and the round that they are of.  */
  int64_t estimated_round, remaining_ms, stop_cost;
  int64_t noted_wait; /* number of the run that it was noted to wait for */
};

/* An occurrence of a job that has fallen due and is not done.  */
struct occurrence
{
  int number;
  int *units_not_done; /* per step; -1: none created yet */
  int steps_not_done;
};

/* The tasks of a chunk of a step in one occurrence, PC_TASKS at most, which
   share a row.  */
struct piece
{
  struct job *job;
  gint64 key; /* in the job's table */
  int occurrence, step, chunk;
  GPtrArray *units;       /* struct unit with tasks in it */
  unsigned dirty : 1;     /* changed since its job's changes were last taken */
  unsigned in_commit : 1; /* being stored, as a part of its job's changes */
  unsigned sent : 1;      /* its row was returned since the last commit */
  unsigned has_row : 1;   /* the store may have a row of it */
  unsigned closed : 1;    /* its occurrence has ended */
  unsigned stale : 1;     /* its row is of a change that was not completed */
};

/* Values of job.head.  */
enum head_state
{
  HEAD_UNSENT,
  HEAD_SENT, /* returned since the last commit */
  HEAD_STORED
};

struct job
{
  struct sj_cluster *cluster;
  struct sj_job *spec;
  const char *service; /* interned, as in struct worker */
  enum sj_state state, stored_state, commit_state;
  GPtrArray *open_occurrences; /* struct occurrence */
  GPtrArray *units;    /* struct unit; done ones until all members ended; those
                          of a step side by side */
  int next_occurrence; /* number of the next to fall due */
  int occurrences_done;
  int64_t accepted_ms; /* on the caller's clock */
  int64_t critical_path_ms;
  int64_t peak_accelerators; /* of the widest step, for the guarantee */
  int started;               /* a worker has taken a start of it */
  int dirty, in_commit;
  /* Set aside until its record is stored; parked: not among the dirty jobs
     meanwhile.  */
  int aside, parked;
  enum sj_aside_reason aside_reason;
  int64_t changed_serial; /* of its latest change */
  int64_t aside_serial;   /* the same when it was set aside */
  int64_t retry_ms;       /* when its record may be tried again */
  int64_t aside_ms;       /* wait before that */
  int in_pieces;          /* stored as a head and pieces, else in one row */
  int has_record;         /* the store may have its head */
  enum head_state head;
  char *stored_head, *sent_head; /* in pieces: as stored and as returned */
  GHashTable *pieces;            /* struct piece by key */
  /* Changed ones, those whose changes are being stored, closed ones that are
     in the stored head, and those that are not in the one being stored.  */
  GPtrArray *dirty_pieces, *commit_pieces, *closed_pieces, *dropped_pieces;
  guint next_piece;  /* of commit_pieces: the first that may be unsent */
  int rows_out;      /* returned since the last commit */
  int begun_now;     /* its changes were taken since the last commit */
  int planned_tasks; /* since its record was last written */
  int plan_limit;    /* of them; 0: none */
  /* Serials of the first change that is not in the record being stored, and
     of the first one that is.  */
  int64_t dirty_since, commit_since;
  int rank; /* RANK_GUARANTEED and so on, set by each decision round */
  struct rt_ratio *run_ratio; /* of its account and queue; NULL: not yet */
  int account;                /* its handle in the cluster's shares */
  int64_t passed_over_ms;     /* when that was last noted; 0: never */
};

struct rack
{
  char *name;
  GPtrArray *workers;
  int fitting; /* tasks, in the search for one unit */
};

struct worker
{
  char *id, *kind;
  const char *service; /* interned */
  struct rack *rack;   /* or NULL */
  const char *domain;  /* interned; or NULL */
  int domain_closed;   /* no work may be started there */
  int paused;          /* nothing is planned there for now */
  int64_t incarnation; /* 0: unknown */
  struct sj_resources capacity, used;
  int capacity_known;       /* it is that of this incarnation */
  int capacity_serial;      /* changes of it so far */
  int64_t version;          /* of its last report */
  int64_t reported_ms;      /* when that arrived */
  int64_t reported_held_ms; /* how long starts had been held by then */
  int reports;              /* of this incarnation */
  int usable; /* wo_usable, as of the last round or check of the runs */
  struct sj_resources free, free_after_stops; /* of the current round */
  struct sj_resources reserved; /* for waiting units, from reserved_from_ms */
  int64_t reserved_from_ms;     /* 0: no reservation */
  int listed;                   /* the platform's list of workers has it */
  int draining, reachable;
  int runs_known;   /* this incarnation has listed its runs */
  int unknown_runs; /* runs it listed that belong to no unit */
  int left_alone;   /* those of them whose jobs are left alone */
  int replaced;     /* its process has ended */
  int has_left;     /* its last process to end may have left as planned */
  int64_t drain_end_ms;
  int64_t min_drain_end_ms; /* it does not leave before; 0: unknown */
  int64_t lease_end_ms;     /* its runs end by then without a renewal */
  int64_t added_ms;         /* when this incarnation became known */
  GPtrArray *members;       /* struct member that occupy capacity */
  int consecutive_failures; /* of different jobs */
  char last_failed_job[SJ_ID_SIZE];
  int64_t suspect_until_ms; /* no starts are sent to it before */
  int64_t seen_slow_ms;     /* last slow sample; 0: none or since recovered */
  int64_t cold_until_ms;    /* 0: it was warm at its last report */
  int estimate;             /* its place in the estimates of preempt.c */
  struct sp_worker speed;
  int64_t speed_incarnation; /* that the speed was learned of */
};

/* Capacity kept free for urgent work, as of the last round.  */
struct headroom
{
  int has_begun; /* the forecast is initialized */
  int is_forecast;
  int64_t kept, used;           /* accelerators */
  int64_t noted_ms, noted_kept; /* of the last note; 0: none */
};

struct sj_cluster
{
  struct sj_settings settings;        /* as far as their parts are on */
  struct sj_settings wanted_settings; /* as given */
  unsigned parts;                     /* that are on */
  GHashTable *left_alone;             /* ids of jobs */
  struct hr_forecast forecast;        /* of urgent demand */
  struct headroom headroom;
  sj_order_fn *on_order;
  void *arg;
  sj_note_fn *on_note; /* NULL: notes are not wanted */
  void *note_arg;
  GHashTable *workers, *jobs; /* by id */
  GHashTable *guarantees;     /* account name to accelerators */
  GHashTable *racks;          /* by name */
  GPtrArray *worker_list, *job_list, *rack_list;
  GQueue dirty_jobs;     /* struct job, by dirty_since */
  GPtrArray *aside_jobs; /* struct job that are set aside */
  GPtrArray *committing; /* struct job whose changes are being stored */
  /* Since the last commit: rows that sj_dirty returned, those of changes that
     had begun before it, and the job that may return more alone.  */
  int records_out, further_rows;
  struct job *only_job;
  GPtrArray *dropped_rows; /* keys of rows to delete */
  guint dropped_out;       /* of these, returned since the last commit */
  int64_t change_serial;   /* of the latest change of a record */
  int64_t crash_serial;    /* of the latest crash of a worker */
  int suspects;            /* units that should have a worker for themselves */
  int *kept_apart;         /* set when a unit may not share a worker */
  /* Ids of the workers that unresolved losses name.  */
  GHashTable *unresolved_workers;
  GPtrArray *given_up; /* struct unit, whose jobs are about to fail */
  int changed;         /* since the last decision round */
  int starts_held;     /* no start is decided or sent */
  int64_t hold_start_ms, held_ms; /* held_ms: in all earlier holds */
  int max_orders;                 /* that may be open; 0: no limit */
  int open_orders; /* as of this round: without an outcome yet */
  int plan_serial; /* of the last plan to preempt */
  int searches;    /* of the last round: units that were tried */
  int preemptions; /* units for which others were stopped */
  int64_t stopped_runs, lost_core_ms; /* by stops for any cause */
  int64_t now;                        /* the caller's latest clock reading */
  int64_t decided_ms, health_checked_ms;
  struct sp_fleet fleet;
  GHashTable *run_ratios; /* account and queue to struct rt_ratio */
  int64_t speeds_updated_ms;
  int fast_idle_percent; /* of the accelerators of fast workers, then */
  int64_t slow_kept, fast_waits; /* so far */
  int64_t rounds;                /* so far */
  struct fs_table shares;        /* of the accounts */
  int is_scarce;                 /* units did not fit in the last round */
  int scarce_noted;
  int64_t scarce_ms; /* when units last did not fit */
};

enum
{
  RANK_GUARANTEED, /* priority 0 within the account's guarantee */
  RANK_URGENT,     /* priority 0 beyond the guarantee */
  RANK_BATCH       /* priority 1; priority N has rank RANK_URGENT + N */
};

/* need.c */
void nd_add (struct sj_resources *a, const struct sj_resources *b);
void nd_sub (struct sj_resources *a, const struct sj_resources *b);
int nd_fits (const struct sj_resources *need,
             const struct sj_resources *available);
/* Returns how many tasks that need NEED each fit into AVAILABLE, at most
   MAX.  */
int nd_count_fitting (const struct sj_resources *need,
                      const struct sj_resources *available, int max);
/* Capacity of a worker that a task of STEP occupies. A filler occupies no
   processor time.  */
struct sj_resources nd_for_step (const struct sj_step *step);
/* Scalar weight of NEED in thousandths of a core: an accelerator counts as
   eight cores, memory as nothing.  */
int64_t nd_weight (const struct sj_resources *need);

/* rack.c */
void rk_init (struct sj_cluster *c);
void rk_fini (struct sj_cluster *c);
/* The rack NAME, or NULL if no worker is in it.  NAME may be NULL.  */
struct rack *rk_find (const struct sj_cluster *c, const char *name);
/* Moves W to the rack NAME (NULL: to none) and frees a rack that it leaves
   empty.  */
void rk_move (struct sj_cluster *c, struct worker *w, const char *name);
/* The workers of R, or all workers if R is NULL.  */
const GPtrArray *rk_workers (const struct sj_cluster *c, const struct rack *r);

/* loss.c */
/* Accounts for MEMBERS, an array of struct member of W whose runs have ended
   for LOSS without a listed end, and releases them.  */
void lo_lose_members (struct sj_cluster *c, const struct worker *w,
                      const GPtrArray *members, enum sj_loss loss,
                      int64_t now);
/* W, which is silent no more, runs the incarnation that is known of it.  */
void lo_worker_is_alive (struct sj_cluster *c, const struct worker *w);
/* The process of worker ID ended if its incarnation was not LIFE_TAG (0: any
   of its incarnations).  */
void lo_worker_has_crashed (struct sj_cluster *c, const char *id, int life_tag,
                            int64_t now);
/* Most unexplained crashes under a task of U.  */
int lo_crashes (const struct unit *u);
/* The same with explained ones and losses that may have been crashes.  */
int lo_possible_crashes (const struct unit *u);
/* Adds a copy of CRASH to U.  */
void lo_add_crash (struct unit *u, const struct crash *crash);
/* Gives U up, if it has had all the runs that are allowed after the crashes
   under it.  Returns 1 if it has.  */
int lo_give_up_if_spent (struct sj_cluster *c, struct unit *u, int64_t now);
/* Allows U another run, if the one that has just ended counts against the last
   ones and no worker can have executed it.  */
void lo_note_run_over (struct unit *u);
/* Adds a copy of LOSS to U.  */
void lo_add_loss (struct sj_cluster *c, struct unit *u,
                  const struct unresolved_loss *loss);
/* Settles the losses whose workers should have come back by now.  */
void lo_settle_old_losses (struct sj_cluster *c);
void lo_free (struct unit *u);

/* suspect.c */
/* Whether U may start now, as far as the crashes under it are known.  */
int su_may_start (const struct unit *u);
/* Whether the crashes under U and under what runs on W allow that they share
   W.  If not, sets *kept_apart of C.  */
int su_may_share (const struct sj_cluster *c, const struct unit *u,
                  const struct worker *w);
/* Counts the suspects among the units.  */
void su_count_suspects (struct sj_cluster *c);

/* worker.c */
/* Short form of an incarnation that a record holds, 0 if it is unknown.  */
int wo_life_tag (int64_t incarnation);
/* Whether M's run was sent to an earlier incarnation of its worker.  */
int wo_has_crashed_under (const struct member *m);
struct worker *wo_find (struct sj_cluster *c, const char *id);
void wo_free (void *worker);
/* Adds M to, or removes it from, the members that occupy its worker's
   capacity.  */
void wo_add_member (struct member *m);
void wo_remove_member (struct member *m);
/* Whether W reported regularly and no longer does, so that its capacity may be
   another one now.  */
int wo_report_is_overdue (const struct sj_cluster *c, const struct worker *w);
/* Whether what is ordered and runs on W fits its capacity.  */
int wo_fits_capacity (const struct worker *w);
/* Whether W is still slow after its start.  Always 0 unless closed domains are
   served.  */
int wo_is_cold (const struct sj_cluster *c, const struct worker *w);
/* Whether starts may be sent to W.  */
int wo_usable (const struct sj_cluster *c, const struct worker *w);
/* Loses M, whose worker has ended.  */
void wo_lose_member (struct sj_cluster *c, struct member *m, int64_t now);
/* Ends the runs of silent workers whose lease has expired, and frees unlisted
   workers without members.  */
void wo_remove_expired (struct sj_cluster *c);

/* job.c */
const struct sj_step *un_step (const struct unit *u);
/* Names task INDEX of U in the log line of a crash.  */
void un_set_subject (const struct unit *u, int index);
/* The first member of U's run that has not ended, or NULL.  */
const struct member *un_first_member (const struct unit *u);
/* Whether A and B belong to the same step of the same occurrence.  */
int un_same_step (const struct unit *a, const struct unit *b);
struct job *jb_find (struct sj_cluster *c, const char *id);
void jb_free (void *job);
/* Unit I of J.  */
struct unit *jb_unit (const struct job *j, guint i);
/* Whether J is completed, failed or cancelled.  */
int jb_ended (const struct job *j);
/* Marks J's record as changed.  pc_mark_unit marks a unit.  */
void jb_mark_dirty (struct job *j);
int jb_is_open (const struct job *j, int occurrence);
/* Whether the steps that STEP depends on are done in occurrence O.  */
int jb_step_is_ready (const struct job *j, const struct occurrence *o,
                      int step);
/* Ends the open occurrences of J all steps of which are done.  */
void jb_end_occurrences (struct sj_cluster *c, struct job *j, int64_t now);
/* Adds occurrence NUMBER, without units.  */
struct occurrence *jb_open_occurrence (struct job *j, int number);
/* Adds the unit of J that begins with task FIRST of STEP.  */
struct unit *jb_new_unit (struct job *j, int occurrence, int step, int first,
                          int64_t now);
/* Opens the occurrences of J that are due at the time of day WALL_MS.  */
void jb_open_due_occurrences (struct sj_cluster *c, struct job *j, int64_t now,
                              int64_t wall_ms);
/* Marks U as done and advances its step, occurrence and job.  */
void jb_unit_done (struct sj_cluster *c, struct unit *u, int64_t now);
/* Ends J in STATE and aborts its runs.  */
void jb_finish (struct sj_cluster *c, struct job *j, enum sj_state state,
                int64_t now);

/* run.c */
/* Fills RUN with the identity of M's run.  */
void ru_fill (struct sj_run *run, const struct member *m);
/* Plans a run of U; PLACEMENT names the worker of each task.  */
void ru_plan (struct unit *u, struct worker **placement, int off_rack,
              int64_t now);
/* Orders the start of every member of U's planned run.  Aborts the run if a
   worker has become unusable.  */
void ru_send_starts (struct sj_cluster *c, struct unit *u, int64_t now);
/* Aborts U's active run for CAUSE and stops its remaining members.  */
void ru_abort (struct sj_cluster *c, struct unit *u, enum sj_cause cause,
               int64_t now);
void ru_stop_member (struct sj_cluster *c, struct member *m, int64_t now);
/* Marks M as ended and frees its capacity, if it has a worker.  */
void ru_end_member (struct member *m);
/* Ends M.  The remaining members of an
   active run are aborted; after the last one the unit is
   requeued unless it is done.  */
void ru_release_member (struct sj_cluster *c, struct member *m, int64_t now);
/* Notes that a worker has taken a start of U.  */
void ru_note_taken (struct unit *u);
/* Applies END, the listed end of M's run.  */
void ru_apply_end (struct sj_cluster *c, struct member *m,
                   const struct sj_listed_run *end, int64_t now);
/* Keeps later runs of U off WORKER.  */
void ru_avoid_worker (struct unit *u, const char *worker);
/* Lets U run on the workers it avoids, if it has waited for others too
   long.  */
void ru_end_avoidance (const struct sj_cluster *c, struct unit *u,
                       int64_t now);
/* The checkpoint that U resumes from, or "".  */
const char *un_checkpoint (const struct unit *u);
/* Sets the checkpoint that U resumes from, if its step writes any and
   CHECKPOINT is not empty.  If it is NULL or longer than SJ_MAX_CHECKPOINT, U
   keeps the one that it has, and that is noted once for a run.  */
void ru_set_checkpoint (struct unit *u, const char *checkpoint);
/* Whether RUN is the current run of M.  */
int ru_matches (const struct sj_run *run, const struct member *m);
/* The member on W whose current run is RUN, or NULL.  */
struct member *ru_find_member (const struct worker *w,
                               const struct sj_run *run);
/* The unit that RUN's task belongs to, whatever its run number, or NULL.  */
struct unit *ru_find_unit (struct sj_cluster *c, const struct sj_run *run);

/* record.c */
/* The record to store for J, or its head if it is in pieces; a new
   reference.  */
json_t *rc_write (const struct job *j);
/* The value of P's row; a new reference.  */
json_t *rc_write_piece (const struct piece *p);
/* Restores J's progress from RECORD.  Returns 0 or SJ_EINVAL.  */
int rc_read (struct sj_cluster *c, struct job *j, const json_t *record,
             int64_t now);

/* piece.c */
enum
{
  PC_TASKS = 16 /* tasks of a step in a piece */
};
void pc_init (struct job *j);
void pc_fini (struct job *j);
/* Number of pieces of STEP in an occurrence.  */
int pc_count (const struct job *j, int step);
struct piece *pc_find (const struct job *j, int occurrence, int step,
                       int chunk);
struct piece *pc_find_or_add (struct job *j, int occurrence, int step,
                              int chunk);
void pc_row_key (char out[SJ_KEY_SIZE], const struct piece *p);
/* Add and remove U, a new unit and one that is about to be freed.  */
void pc_add_unit (struct unit *u);
void pc_remove_unit (struct unit *u);
/* Marks P as changed, but not its job.  */
void pc_mark (struct piece *p);
/* Marks U and its job as changed.  */
void pc_mark_unit (struct unit *u);
/* Closes the pieces of OCCURRENCE (-1: of all).  */
void pc_close (struct job *j, int occurrence);
/* J is stored in pieces from now on.  */
void pc_begin (struct job *j);
/* Has the rows deleted of the pieces that the stored head has as closed.  */
void pc_drop_closed (struct sj_cluster *c, struct job *j);

/* changes.c */
void ch_cancel (struct sj_cluster *c, struct job *j);

/* aside.c */
/* Whether a further unit of J may be planned: its record can be stored and
   has not grown too much since it was stored.  */
int ad_may_plan (const struct job *j);
/* J's record was stored with its plans.  */
void ad_stored (struct job *j);
/* J is about to be freed.  */
void ad_remove (struct job *j);

/* placement.c */
/* Fills PLACEMENT with a worker for each task of U, from the workers' free
   capacity or, if AFTER_STOPS, from what is free once pending stops have
   ended.  U is placed outside its rack only with ALLOW_OFF_RACK; *OFF_RACK is
   set to whether it is.  Returns 1 if it fits.  */
int pl_place (struct sj_cluster *c, struct unit *u, int after_stops,
              int allow_off_rack, struct worker **placement, int *off_rack);
/* Places the single tasks of a step one after the other, for the price of one
   search.  Zeroed at the first.  */
struct pl_singles
{
  struct candidate *list; /* a heap; NULL: not searched yet */
  int count;
};
/* The worker for U, a unit of that step, from the free capacity, or NULL if
   pl_place must be asked.  */
struct worker *pl_next_single (struct sj_cluster *c, struct pl_singles *s,
                               struct unit *u);
void pl_end_singles (struct pl_singles *s);
/* Whether W may run tasks of U, whatever its free capacity.  */
int pl_is_eligible (const struct sj_cluster *c, const struct unit *u,
                    const struct worker *w);
/* Whether a worker that U does not avoid may become free for a task of U: it
   has the label and enough capacity, and stays.  */
int pl_has_other_worker (const struct sj_cluster *c, const struct unit *u);
/* Most tasks of U that one worker may run.  */
int pl_max_per_worker (const struct unit *u);
/* Whether U, a task that lasts, has waited long enough to use capacity that is
   reserved for others.  */
int pl_uses_reserved (const struct unit *u);
/* Whether an empty rack would hold all of U.  */
int pl_rack_can_hold (const struct sj_cluster *c, const struct unit *u);
/* Racks that U may be bound to: the rack of its data, or all.  The caller
   frees the array, not the racks.  */
GPtrArray *pl_candidate_racks (const struct sj_cluster *c,
                               const struct unit *u);
/* Subtracts the capacity for U at PLACEMENT from the workers' free capacity of
   this round.  */
void pl_reserve (const struct unit *u, struct worker **placement);

/* Whether U runs slowly unless all its tasks are in one rack.  */
int pl_is_rack_bound (const struct unit *u);

/* reservation.c */
/* Reserves capacity for TASKS tasks of U's step on the workers that are free
   soonest.  Returns 0 if there is not enough within the time considered.  */
int rs_reserve (struct sj_cluster *c, const struct unit *u, int tasks);

/* preempt.c */
/* Stops work of lower rank so that U fits, and reserves the capacity.  REASON
   is why the stops were not avoided.  Returns 1 on success.  */
int pr_preempt_for (struct sj_cluster *c, struct unit *u, int allow_off_rack,
                    const char *reason, int64_t now);

/* victim.c */
/* Whether stops are avoided: the time within which guaranteed work must start
   is known.  */
int vi_avoids_stops (const struct sj_cluster *c);
/* Expected longest time that a stop takes.  */
int64_t vi_stop_ms (const struct sj_cluster *c);
/* Whether M should have stopped by now, so that its capacity is not counted
   on.  */
int vi_is_overdue (const struct sj_cluster *c, const struct member *m);
/* Expected time until U's run ends by itself; INT64_MAX: unknown.  */
int64_t vi_remaining_ms (const struct sj_cluster *c, struct unit *u,
                         int64_t now);
/* Weight of what stopping U costs, in core-milliseconds.  */
int64_t vi_stop_cost (const struct sj_cluster *c, struct unit *u, int64_t now);
/* Work of U's run that a stop throws away, in core-milliseconds.  */
int64_t vi_lost_core_ms (const struct sj_cluster *c, const struct unit *u,
                         int64_t now);
/* Whether U's run ends about as soon as a stop would end it.  */
int vi_is_nearly_done (const struct sj_cluster *c, struct unit *u,
                       int64_t now);
/* Counts and notes that U's run is stopped for its cause.  */
void vi_note_stop (struct sj_cluster *c, const struct unit *u, int64_t now);
/* Notes the stops of U's run that are overdue for the first time.  */
void vi_note_overdue (const struct sj_cluster *c, struct unit *u);

/* wait.c */
enum wt_choice
{
  WT_STOP, /* stop other work now */
  WT_WAIT, /* enough capacity is expected to become free in time */
  WT_LATE  /* no stop would let the unit start in time */
};
/* Whether U, whose objective requires a start by LATEST_START_MS, waits for
   capacity or has other work stopped.  Capacity that it waits for is reserved,
   for a limited number of units in a round: *WAITS counts them.  *REASON is
   set to why it does not wait.  */
enum wt_choice wt_choose (struct sj_cluster *c, struct unit *u,
                          int allow_off_rack, int64_t latest_start_ms,
                          int *waits, const char **reason, int64_t now);

/* headroom.c */
/* A round's view of the capacity kept free for urgent work.  */
struct hd_round
{
  int is_off;             /* nothing is kept */
  int64_t idle, all;      /* accelerators */
  int is_forecast;        /* else by constant shares of the accelerators */
  struct hr_keep keep[2]; /* for work without and with checkpoints */
  int fitting[HR_SHAPES]; /* tasks of a shape that fit in the fleet */
};
/* Records J, accepted at ACCEPTED_MS, as demand.  */
void hd_add_job (struct sj_cluster *c, const struct job *j, int64_t now);
void hd_begin (struct sj_cluster *c, struct hd_round *h, int64_t now);
/* Counts the free capacity again.  */
void hd_count (const struct sj_cluster *c, struct hd_round *h);
/* Take W out of the counts before its free capacity changes, and back in
   after that.  */
void hd_leave (struct hd_round *h, const struct worker *w);
void hd_return (struct hd_round *h, const struct worker *w);
/* Whether batch unit U must not start so that capacity stays free for urgent
   work yet to come.  */
int hd_must_wait (const struct hd_round *h, const struct unit *u, int64_t now);
/* Updates the cluster's headroom and notes a change of it.  */
void hd_end (struct sj_cluster *c, const struct hd_round *h, int64_t now);

/* shares.c */
/* Sets ACCOUNT's weight, which is its guarantee.  */
void as_set_weight (struct sj_cluster *c, const char *account, int64_t weight);

/* parts.c */
int pt_is_on (const struct sj_cluster *c, enum sj_part part);

/* health.c */
/* Accounts how a run of U ended on W.  */
void he_record_end (struct sj_cluster *c, struct worker *w, struct unit *u,
                    enum sj_end end, int64_t now);
/* Accounts the progress listed for M's run; PERCENT is -1 if unknown.  */
void he_record_progress (struct sj_cluster *c, struct member *m, int percent,
                         int64_t now);
/* Whether the latest pace sample on W was slow and is less than SLOW_EXPIRY_MS
   old.  */
int he_is_slow_worker (const struct sj_cluster *c, const struct worker *w);
/* Remaining run time of M's run, whose total run time is RUN_MS.  */
int64_t he_remaining_ms (int64_t run_ms, const struct member *m);
/* Expected total run time of M's task where it runs now.  */
int64_t he_expected_run_ms (const struct sj_cluster *c,
                            const struct member *m);
/* Expected time until M's run ends.  */
int64_t he_expected_remaining_ms (const struct sj_cluster *c,
                                  const struct member *m);
/* Aborts runs that are stalled or too slow, so that they start elsewhere.  */
void he_check_runs (struct sj_cluster *c, int64_t now);

/* speeds.c: without speed_aware, all workers have the same speed and tasks
   take their declared time */
void sd_init (struct sj_cluster *c);
void sd_fini (struct sj_cluster *c);
/* Whether what is learned has an effect: in an even fleet it has none.  */
int sd_is_active (const struct sj_cluster *c);
/* Whether the fleet is uneven, or too few workers are known to tell.  */
int sd_may_be_uneven (const struct sj_cluster *c);
/* Accounts the progress listed for M's run.  Its declared run time where it
   runs is DECLARED_MS.  */
void sd_record_progress (struct sj_cluster *c, struct member *m, int percent,
                         int64_t declared_ms, int64_t now);
/* Estimates the workers' speeds anew if that is due.  */
void sd_update (struct sj_cluster *c, int64_t now);
/* Speed of W relative to the fast workers, at most 1.  */
double sd_speed (const struct sj_cluster *c, const struct worker *w);
/* Speed class of W; SP_UNKNOWN while it has no effect.  */
enum sp_class sd_class (const struct sj_cluster *c, const struct worker *w);
/* The pace of a fast worker that M's siblings on other workers show, in
   percent of the declared one; 0: unknown.  */
double sd_fast_pace (const struct member *m);
/* Expected run time of U's tasks on a fast worker, within their rack.  */
int64_t sd_run_ms (const struct sj_cluster *c, const struct unit *u);
/* A time that one run in ten exceeds there.  */
int64_t sd_tail_ms (const struct sj_cluster *c, const struct unit *u);
/* Expected run time of U's tasks on W, within their rack.  */
int64_t sd_run_on_ms (const struct sj_cluster *c, const struct unit *u,
                      const struct worker *w);
/* Whether U's job meets FACTOR times its objective if U ends in RUN_MS.  */
int sd_meets (const struct sj_cluster *c, const struct unit *u, int64_t run_ms,
              int factor);
/* Whether U should take fast workers rather than leave them to others.  */
int sd_wants_fast (const struct sj_cluster *c, const struct unit *u);
/* Speed at which M's unit would run if M moved to another worker that has free
   capacity now; 0: there is none.  */
double sd_speed_elsewhere (const struct sj_cluster *c, const struct member *m);
/* Counts M's slow run, which is not moved, once.  */
void sd_note_slow_kept (struct sj_cluster *c, struct member *m);
/* Whether U, which fits at PLACEMENT, should rather wait for a fast worker,
   because it would miss its objective there.  */
int sd_should_wait (struct sj_cluster *c, struct unit *u,
                    struct worker *const *placement);
void sd_count (const struct sj_cluster *c, struct sj_counts *out);

#endif
