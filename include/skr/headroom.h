/* Forecast of urgent demand: how much capacity to keep free so that urgent
   work finds a place without stopping other work.  The module does no I/O and
   reads no clock: times are milliseconds of the caller's monotonic clock.  */
#ifndef SKR_HEADROOM_H
#define SKR_HEADROOM_H

#include <stdint.h>

enum
{
  HR_SHAPES = 17,     /* needs are grouped by accelerators: 0, 1, ... more */
  HR_BUCKETS = 64,    /* of the history of arrivals */
  HR_BUCKET_MS = 250, /* length of one; the history covers 16 s */
  HR_MIN_HISTORY_MS = 3000 /* shorter histories give no forecast */
};

/* What one task needs.  */
struct hr_need
{
  int64_t cpu_milli, memory_mb, accelerators;
};

/* Urgent jobs of one shape of need.  Means follow recent jobs.  */
struct hr_shape
{
  double cpu_milli, memory_mb, accelerators; /* of a task */
  double tasks, run_ms;                      /* of a job */
  uint32_t jobs[HR_BUCKETS];                 /* that arrived, by time */
};

struct hr_forecast
{
  int64_t began_ms;    /* when the history begins */
  int64_t newest;      /* number of the newest bucket since time 0 */
  double batch_run_ms; /* usual run time of other work; 0: unknown */
  struct hr_shape shape[HR_SHAPES];
};

/* Starts F without history at NOW.  */
void hr_init (struct hr_forecast *f, int64_t now);
/* Records an urgent job of TASKS tasks that run for RUN_MS each.  It arrived
   at AT_MS, which may lie before the history began.  */
void hr_add_urgent (struct hr_forecast *f, const struct hr_need *need,
                    int tasks, int64_t run_ms, int64_t at_ms, int64_t now);
/* Records the run time of a task of other work.  */
void hr_add_batch (struct hr_forecast *f, int64_t run_ms);
/* Whether there is enough history for a forecast, with at least MIN_PER_S jobs
   a second.  */
int hr_has_history (struct hr_forecast *f, int min_per_s, int64_t now);

/* Capacity to keep free.  */
struct hr_keep
{
  int64_t accelerators;          /* in total */
  int64_t growth;                /* part of it that is expected to be needed */
  double jobs_per_s, peak_per_s; /* current and expected rate of arrivals */
  int tasks[HR_SHAPES];          /* that must fit, by shape */
  struct hr_need need[HR_SHAPES]; /* of these */
};

/* Fills OUT with what to keep free for arrivals that exceed the expected
   number by up to DEVIATIONS standard deviations.  It is at least the need of
   one usual urgent job, and else at most GUARANTEED accelerators (0: no such
   limit).  Requires hr_has_history.  */
void hr_get_keep (struct hr_forecast *f, double deviations, int64_t guaranteed,
                  int64_t now, struct hr_keep *out);

#endif
