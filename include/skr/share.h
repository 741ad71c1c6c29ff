/* Fair shares of scarce capacity: how much of a fleet each client account
   uses compared with what it is entitled to, and the order in which waiting
   requests are tried.  Accounts are handles into a table.  The module does no
   I/O and reads no clock: all times are milliseconds of the caller's
   monotonic clock.  */
#ifndef SKR_SHARE_H
#define SKR_SHARE_H

#include <glib.h>
#include <stdint.h>

enum
{
  FS_RESOURCES = 3,       /* cores, memory, accelerators */
  FS_HALF_LIFE_MS = 5000, /* of past use */
  /* A unit of an account above its share goes ahead of others again after
     twice the wait that its objective allows, within these bounds.  A step
     with the longest one still ends before three times the objective.  */
  FS_AGE_MIN_MS = 2000,
  FS_AGE_MAX_MS = 20000,
  /* Part of the fleet for the steps of an account that go ahead by age.
     Without a limit a long backlog, all of it aged, would again precede all
     others.  */
  FS_AGED_PERCENT = 5,
  FS_CHANGE_INTERVAL_MS = 2000 /* bounds the log */
};

/* Amounts of cores, memory and accelerators, in any unit.  */
struct fs_amount
{
  double of[FS_RESOURCES];
};

struct fs_account
{
  char *name;
  int64_t weight;        /* at least 1 */
  int64_t running;       /* tasks */
  int64_t waiting;       /* tasks */
  struct fs_amount now;  /* in use, as a fraction of the capacity */
  struct fs_amount past; /* decayed mean of it */
  double share;          /* dominant fraction, now or past */
  double entitled; /* fraction due to it, of what all accounts together use */
  int is_over;     /* above its share */
  int was_over;    /* as last returned by fs_take_change */
  int64_t changed_ms;   /* when that was */
  int64_t next_aged_ms; /* when a step of it may go ahead by age again */
};

struct fs_table
{
  GArray *accounts;    /* struct fs_account, by handle */
  GHashTable *by_name; /* name to handle + 1 */
  struct fs_amount capacity;
  int64_t updated_ms;
};

void fs_init (struct fs_table *t);
void fs_fini (struct fs_table *t);

/* The handle of account NAME, which is added with a weight of 1 if it is not
   known.  Handles are valid until fs_fini.  */
int fs_find (struct fs_table *t, const char *name);
int fs_count (const struct fs_table *t);
/* The account of a handle.  The pointer is valid until the next fs_find.  */
const struct fs_account *fs_get (const struct fs_table *t, int account);
/* Sets the weight.  Returns 1 if WEIGHT is 0 or below and counts as 1.  */
int fs_set_weight (struct fs_table *t, int account, int64_t weight);

/* Begin and end a new count of what runs and waits in a fleet of CAPACITY.
   fs_end_update computes the shares.  */
void fs_begin_update (struct fs_table *t, const struct fs_amount *capacity);
void fs_add_running (struct fs_table *t, int account,
                     const struct fs_amount *task);
void fs_add_waiting (struct fs_table *t, int account, int tasks);
void fs_end_update (struct fs_table *t, int64_t now);
/* Whether is_over of ACCOUNT differs from what this function last found.  An
   account's changes are at least FS_CHANGE_INTERVAL_MS apart.  */
int fs_take_change (struct fs_table *t, int account, int64_t now);

/* The waiting tasks of one step.  */
struct fs_request
{
  int64_t ready_ms;        /* since when it waits */
  int64_t latest_start_ms; /* latest start that meets its objective */
  struct fs_amount work;   /* amount of all tasks times their run time, ms */
  int account;
  /* Results of fs_order.  */
  int ahead;       /* the request that it was moved behind; -1: none */
  int64_t wait_ms; /* expected wait in the order by latest start */
  int is_at_risk;  /* others were moved behind it */
  int is_aged;     /* not moved because of its age */
};

/* Orders N requests of one rank, given by latest start, and writes their
   indices to ORDER.  AHEAD is the work of higher rank.  A request of an
   account above its share is moved behind one of an account that is not, only
   if the latter would otherwise be late.  Returns the number that were
   moved.  */
int fs_order (struct fs_table *t, struct fs_request *request, int n,
              const struct fs_amount *ahead, int64_t now, int *order);
/* Adds the work of REQUEST to SUM.  */
void fs_add_work (struct fs_amount *sum, const struct fs_amount *work);
/* A task of ACCOUNT that needs WORK has started; is_aged of its request was
   set.  */
void fs_aged_started (struct fs_table *t, int account,
                      const struct fs_amount *work, int64_t now);
/* Time for which WORK takes the whole fleet, by its dominant resource.  */
double fs_fleet_ms (const struct fs_table *t, const struct fs_amount *work);

#endif
