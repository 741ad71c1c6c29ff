/* The order in which the waiting steps of a decision round are tried: by rank,
   then by the latest start that meets the objective.  */
#ifndef SKR_STEPS_ORDER_H
#define SKR_STEPS_ORDER_H

#include "steps/state.h"

/* The waiting units of one step.  They stand side by side among the units of
   their job.  */
struct ready_step
{
  struct job *job;
  guint first, end;        /* units of JOB, those that do not wait included */
  struct unit *unit;       /* its first that waits */
  int64_t latest_start_ms; /* latest start that meets its objective */
  int tasks;               /* that wait */
  struct fs_request request; /* input and results of fs_order */
  const struct unit *ahead;  /* unit of the step it was moved behind */
  int64_t ahead_slack_ms, ahead_wait_ms; /* of that step */
};

/* Ranks the jobs.  An account's jobs of priority 0 are guaranteed in order of
   acceptance, as long as their accelerators fit into its guarantee.  */
void or_rank_jobs (struct sj_cluster *c);
/* The steps with waiting units in the order in which they are tried: an array
   of struct ready_step that the caller frees.  WALL_OFFSET is the time of day
   less the monotonic clock, in milliseconds.  */
GArray *or_list_ready (struct sj_cluster *c, int64_t now, int64_t wall_offset);

/* The work of TASKS tasks of U's step by their expected run time.  */
struct fs_amount or_work (const struct unit *u, int tasks);

/* shares.c */
/* Accounts for the start of U, a unit of S.  */
void as_started (struct sj_cluster *c, const struct ready_step *s,
                 const struct unit *u, int64_t now);
/* Counts what runs and what waits in READY by account, and computes the
   accounts' shares.  */
void as_update (struct sj_cluster *c, const GArray *ready, int64_t now);
/* Accounts for a round over READY in which UNPLACED steps did not start for
   want of capacity.  */
void as_end_round (struct sj_cluster *c, const GArray *ready, int unplaced,
                   int64_t now);

#endif
