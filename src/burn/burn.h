#ifndef BURN_H
#define BURN_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* skr-burn evaluates service-level objectives from recorded counters.  */
enum bn_error
{
  BN_OK = 0,
  BN_EINVAL = -701, /* malformed file; the reason names the entry */
  BN_EIO = -702     /* a file cannot be read or written */
};

enum
{
  BN_NAME = 64,      /* bytes of a name, with its NUL */
  BN_REASON = 256,   /* bytes of an error message, with its NUL */
  BN_TIME_PARTS = 4, /* parts of the time: queue, store, upstream, reclaim */
  BN_MAX_WINDOWS = 4,
  BN_MAX_OBJECTIVES = 64,
  BN_ANY = '*' /* as a class or account: matches all */
};

extern const char *const bn_time_part_names[BN_TIME_PARTS];

enum bn_measure
{
  BN_KNOWN_OUTCOME,  /* calls and jobs whose outcome is known */
  BN_NOT_REFUSED,    /* calls that were not refused */
  BN_ANSWER_TIME,    /* calls answered within within_ms */
  BN_START_TIME,     /* jobs started within within_ms */
  BN_COMPLETION_TIME /* jobs ended within within_ms */
};

struct bn_objective
{
  char name[BN_NAME];
  enum bn_measure measure;
  char class[BN_NAME], account[BN_NAME]; /* "*" for all */
  int64_t within_ms; /* of BN_ANSWER_TIME and later measures */
  double target;     /* required good fraction */
};

/* An objective burns too fast when its burn rate exceeds the limit over both
   the long and the short time.  */
struct bn_window
{
  char name[BN_NAME];
  int64_t long_ms, short_ms;
  double limit; /* burn rate; at 1 the budget lasts for the whole period */
};

struct bn_objectives
{
  int64_t period_ms; /* of the error budget */
  int objective_count, window_count;
  struct bn_objective objective[BN_MAX_OBJECTIVES];
  struct bn_window window[BN_MAX_WINDOWS];
};

/* Reads and checks the file of objectives.  Returns BN_OK, or BN_EINVAL with
   a message in REASON, which has BN_REASON bytes.  */
int bn_read_objectives (const char *path, struct bn_objectives *out,
                        char *reason);

/* The increase of one account's counters between two samples of one VM.  */
struct bn_step
{
  int64_t at_ms; /* of the later sample */
  char account[BN_NAME];
  double good, bad;
  double part_us[BN_TIME_PARTS];
};

/* Reads samples as bn_record writes them, one object {"at_ms","vm","series"}
   a line, from PATH or, when it is "-", from standard input.  *SAMPLES is
   sorted by time; the caller frees it, also after BN_EINVAL.  After BN_EIO
   it is not set.  */
int bn_read_samples (const char *path, GPtrArray **samples, char *reason);
/* Returns the steps (struct bn_step) of the objective O, which the caller
   frees.  When a counter of a VM falls, the VM was restarted, and all its
   counters count from 0.  */
GArray *bn_steps (const GPtrArray *samples, const struct bn_objective *o);

struct bn_sum
{
  double good, bad;
  double part_us[BN_TIME_PARTS];
};
/* Sums the steps after FROM_MS and up to and including TO_MS.  */
struct bn_sum bn_sum_steps (const GArray *steps, int64_t from_ms,
                            int64_t to_ms);
/* Returns the burn rate: the bad fraction divided by the bad fraction that
   TARGET allows, or 0 when nothing was counted.  */
double bn_rate (const struct bn_sum *sum, double target);

/* Returns the report for the moment TO_MS as a new reference, and in *TOO_FAST
   whether an objective burns too fast.  */
json_t *bn_report (const struct bn_objectives *objectives,
                   const GPtrArray *samples, int64_t to_ms, int *too_fast);
/* Prints a report of bn_report as text on standard output.  */
void bn_print (const json_t *report);

/* Writes DIR/burn.tsv and DIR/burn.gp, from which gnuplot makes burn.png.
   Returns BN_OK, or an error with a message in REASON.  */
int bn_write_plot (const struct bn_objectives *objectives,
                   const GPtrArray *samples, const char *dir, char *reason);

/* Appends a sample of each entry VM to PATH every EVERY_MS, for FOR_MS or
   until a stop signal.  A VM that does not answer is skipped.  Returns BN_OK,
   or BN_EIO with a message in REASON.  */
int bn_record (const char *entries, const char *key, const char *path,
               int64_t every_ms, int64_t for_ms, char *reason);

#endif
