/* A load of the kinds of work of docs/design/hard-load.md on a simulated fleet
   of a fifth of the deployment's size.  */
#ifndef FAKE_LOAD_H
#define FAKE_LOAD_H

#include "steps/fake_cluster.h"

enum
{
  FL_WORKERS = 70,
  FL_PER_RACK = 20,
  FL_GUARANTEED = FL_WORKERS * 8 / 4, /* accelerators of account a */
  FL_RECLAIM_MS = 2700, /* bound on the start of guaranteed jobs */
  FL_STOP_MS = 200,
  FL_CHECKPOINT_MS = 1000,
  FL_TICK_MS = 50,
  FL_MAX_JOBS = 4000
};

/* A stream of jobs of one kind.  */
struct fl_kind
{
  int priority, tasks, cpu_milli, memory_mb, least_gpus, most_gpus;
  int64_t run_ms;
  double per_s, swing; /* rate, and its oscillation as a share */
};

extern const struct fl_kind fl_urgent, fl_batch_wide, fl_batch_narrow;

struct fl_load
{
  struct fa_cluster *cluster;
  int jobs, urgent_jobs;
  unsigned char is_urgent[FL_MAX_JOBS]; /* of account a */
  int preempted;                        /* runs */
  double checkpointing;                 /* share of the batch jobs */
  GRand *rand;                          /* of the arrivals */
  const char *account;                  /* of the next jobs */
};

/* Sets the scheduler's settings against stops.  */
void fl_set (struct sj_settings *settings);
/* Begins F, a fleet of the deployment's shape with these settings.  */
void fl_init (struct fl_load *l, struct fa_cluster *f, unsigned seed,
              double checkpointing);
void fl_fini (struct fl_load *l);
void fl_submit (struct fl_load *l, const struct fl_kind *k);
/* Submits jobs for MS milliseconds, at multiples of the usual rates.  */
void fl_run (struct fl_load *l, int64_t ms, double urgent_factor,
             double batch_factor);
/* Formats the id of job NUMBER of a load.  */
void fl_format_id (char id[SJ_ID_SIZE], int number);

/* Totals of several days.  */
struct fl_total
{
  int starts, stopped, preempted, late, urgent_jobs;
  double lost_core_s, done_core_s;
};

/* Plays five fleets, as many workers as the deployment has, so loaded that a
   quarter of the runs are stopped without the settings.  */
void fl_play_oscillation (struct fl_total *t, struct fa_cluster *f);
/* The same with bursts of three times the urgent load.  */
void fl_play_bursts (struct fl_total *t, struct fa_cluster *f);
void fl_print (const struct fl_total *t);

#endif
