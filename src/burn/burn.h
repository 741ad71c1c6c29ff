#ifndef BURN_H
#define BURN_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum bn_error
{
  BN_OK = 0,
  BN_EINVAL = -701, /* malformed file; the reason says where */
  BN_EIO = -702     /* the file cannot be read */
};

enum
{
  BN_NAME = 64,    /* bytes of a name with its NUL */
  BN_REASON = 256, /* bytes */
  BN_PARTS = 4,    /* queue, store, upstream, reclaim */
  BN_MAX_WINDOWS = 4,
  BN_MAX_OBJECTIVES = 64,
  BN_ANY = '*' /* a class or account that matches all */
};

extern const char *const bn_part_names[BN_PARTS];

enum bn_measure
{
  BN_TRUTH,     /* ends that are known, of calls and jobs */
  BN_DONE,      /* calls that were done and not refused */
  BN_ANSWER,    /* calls answered within a time */
  BN_START,     /* jobs started within a time */
  BN_COMPLETION /* jobs ended within a time */
};

struct bn_objective
{
  char name[BN_NAME];
  enum bn_measure measure;
  char class[BN_NAME], account[BN_NAME]; /* "*" for all */
  int64_t within_ms;                     /* of the timed measures */
  double target;                         /* fraction that is to be good */
};

/* Burns too fast when both the long and the short window do.  */
struct bn_window
{
  char name[BN_NAME];
  int64_t long_ms, short_ms;
  double limit; /* times the rate that just uses the budget up */
};

struct bn_objectives
{
  int64_t period_ms; /* over which the error budget counts */
  int objectives, windows;
  struct bn_objective objective[BN_MAX_OBJECTIVES];
  struct bn_window window[BN_MAX_WINDOWS];
};

/* Reads and checks the file of objectives.  */
int bn_read_objectives (const char *path, struct bn_objectives *out,
                        char *reason);

/* What one VM counted for one account between two of its samples.  */
struct bn_step
{
  int64_t at_ms;
  char account[BN_NAME];
  double good, bad;
  double part_us[BN_PARTS];
};

/* Samples are lines of {"at_ms","vm","series"}, as bn_record writes them;
   returned in order of time.  */
int bn_read_samples (const char *path, GPtrArray **samples, char *reason);
/* The steps (struct bn_step) of OBJECTIVE.  When a counter of a VM falls, the
   VM was restarted and all its counters count from 0.  */
GArray *bn_steps (const GPtrArray *samples, const struct bn_objective *o);

/* Sums over (FROM_MS, TO_MS].  */
struct bn_sum
{
  double good, bad;
  double part_us[BN_PARTS];
};
struct bn_sum bn_sum_steps (const GArray *steps, int64_t from_ms,
                            int64_t to_ms);
/* Burn rate: the share of bad ones over the share that the target allows.
   0 when nothing was counted.  */
double bn_rate (const struct bn_sum *sum, double target);

/* The whole report at TO_MS as JSON, and whether an objective burns too
   fast.  A new reference.  */
json_t *bn_report (const struct bn_objectives *objectives,
                   const GPtrArray *samples, int64_t to_ms, int *too_fast);
void bn_print (const json_t *report);

/* Writes DIR/burn.tsv and DIR/burn.gp; gnuplot makes DIR/burn.png of them. */
int bn_write_plot (const struct bn_objectives *objectives,
                   const GPtrArray *samples, const char *dir, char *reason);

/* Appends a sample of each entry VM every EVERY_MS, for FOR_MS or until a
   stop signal.  */
int bn_record (const char *entries, const char *key, const char *path,
               int64_t every_ms, int64_t for_ms, char *reason);

#endif
