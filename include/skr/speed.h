/* Speeds of workers relative to each other, and run times relative to the
   declared ones.  Both are estimated from what runs show.  The functions do no
   I/O and read no clock: NOW is in milliseconds of the caller's monotonic
   clock.  */
#ifndef SKR_SPEED_H
#define SKR_SPEED_H

#include <stdint.h>

enum
{
  SP_SAMPLES = 16,     /* steps that an estimate is based on, at most */
  SP_MIN_SIBLINGS = 2, /* on fewer workers: no comparison */
  SP_MAX_SIBLINGS = 32 /* that a run is compared with */
};

/* Speed class of a worker in its fleet, which has up to three.  */
enum sp_class
{
  SP_UNKNOWN, /* too few samples, or the fleet is even */
  SP_FAST,
  SP_MEDIUM,
  SP_SLOW, /* the slowest of three, or slower than fast by 1.4 or more */
  SP_CLASSES
};

/* The class's name; a static string.  */
const char *sp_class_name (enum sp_class class);

/* What the runs of one step on the worker showed.  */
struct sp_sample
{
  int64_t at_ms;
  uint32_t step;  /* the caller's number of the step */
  uint16_t count; /* workers that it was compared with */
  float value;    /* logarithm of the pace relative to the fleet's centre */
};

/* A worker's speed.  Zeroed for a new worker or incarnation.  */
struct sp_worker
{
  struct sp_sample sample[SP_SAMPLES]; /* the oldest first */
  int samples;
  float mean;      /* of the samples without outliers, weighted by age */
  float weight;    /* of these samples; 1 for a recent run */
  float deviation; /* sum of squares around the mean */
  int inliers;
  float log_speed; /* relative to the fleet's centre; 0: unknown */
  float speed; /* of its class, relative to the fast ones; 0 or 1: unknown */
  enum sp_class class;
};

/* What is common to the workers of a fleet.  Zeroed at first.  */
struct sp_fleet
{
  float noise;  /* standard deviation between runs, logarithmic */
  float spread; /* the same between workers */
  float centre; /* mean of the median worker */
  int measured; /* workers with enough samples to compare them */
  int is_uneven;
  int classes;             /* 1 if even, or 2 or 3 */
  float level[SP_CLASSES]; /* mean of each class; -INFINITY: it has none */
  float share[SP_CLASSES]; /* of the workers */
  int workers[SP_CLASSES]; /* by class */
};

/* Another run of the same kind of work: its pace in any unit, and its
   worker.  */
struct sp_sibling
{
  double pace;
  const struct sp_worker *worker;
};

/* Accounts the median pace that the runs of step STEP on W have shown so far,
   relative to their N siblings on other workers.  A later call for the same
   step replaces the earlier one, unless there were more workers to compare
   with then.  Returns 0 if they are too few.  */
int sp_observe (struct sp_worker *w, uint32_t step, double pace,
                const struct sp_sibling *sibling, int n, int64_t now);
/* The pace of a fast worker that the N siblings show, in the unit of theirs;
   0: unknown.  */
double sp_fast_pace (const struct sp_sibling *sibling, int n);
/* Estimates the speeds and classes of all N workers of a fleet anew.  */
void sp_update (struct sp_fleet *f, struct sp_worker *const *workers, int n,
                int64_t now);
/* Confidence in W's estimate, from 0 to 1.  */
double sp_confidence (const struct sp_fleet *f, const struct sp_worker *w);
/* Milliseconds since W's last sample; -1: none.  */
int64_t sp_age_ms (const struct sp_worker *w, int64_t now);

enum
{
  RT_SAMPLES = 32, /* runs that a ratio is based on, at most */
  RT_MIN_SAMPLES = 5
};

/* Run times of one kind of work relative to the declared ones.  Zeroed at
   first.  */
struct rt_ratio
{
  float value[RT_SAMPLES]; /* the oldest is replaced at NEXT */
  int count, next;
  int64_t at_ms;      /* of the latest */
  float median, tail; /* the latter is exceeded by one run in ten */
};

/* Accounts a run that takes RATIO times its declared time on a fast worker. */
void rt_observe (struct rt_ratio *r, double ratio, int64_t now);
/* The median ratio and the tail; 1 while the runs are too few or too old.  */
double rt_median (const struct rt_ratio *r, int64_t now);
double rt_tail (const struct rt_ratio *r, int64_t now);

#endif
