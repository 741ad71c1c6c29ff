/* Independent verifier of skr-replay.  It reads a trace and the actions and
   shares no code with the decision core.  Times are in milliseconds of the
   trace.  */
#ifndef VERIFY_H
#define VERIFY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

enum
{
  CHECKPOINT_MS = 2000,
  FAILING_TASK_MS = 1000,
  STARVED_MS = 1800000,   /* longest wait of a preemptible job */
  MIN_FAILED_WORKERS = 3, /* distinct workers on which a healthy repeatable
                             job must fail, if there are as many, before it
                             may end as failed */
  MAX_FAILED_WORKERS = 8,
  MAX_FAILURES = 12,        /* failed starts of one job */
  MAX_WORKER_FAILURES = 12, /* failures on one worker until its quarantine */
  SIZE_CLASSES = 24         /* group sizes, powers of two */
};

struct worker
{
  int joined, up, leaving, quarantined, fails_all, was_failing;
  uint32_t rack, domain;
  int accelerators, slots;
  uint64_t held;
  int slots_held;
  int failures;     /* since it began to fail every task */
  int on_probation; /* readmitted, no job has succeeded there since */
  int64_t probation_since_ms; /* readmission or the last failure there */
};

enum state
{
  QUEUED,
  RUNNING,
  CHECKPOINTING,
  ENDED
};

struct place
{
  uint32_t worker;
  uint64_t mask;
  int on_failing_worker, released;
};

struct job
{
  char *name;
  uint32_t account;
  int urgent, tasks, per_task, repeatable, preemptible, fails;
  int64_t actual_ms, submitted_ms;
  int fits_nowhere; /* no part of the fleet can hold it, at its submission */
  enum state state;
  int attempt, failures,
      had_failed_attempt;  /* an attempt was lost or failed */
  int failed_worker_count; /* number of distinct workers on which it failed */
  uint32_t failed_worker[MAX_FAILED_WORKERS];
  int expect_done, expect_failed, has_lost_task, cancel_requested;
  int64_t started_ms, remaining_ms, checkpoint_remaining_ms, first_start_ms;
  struct place *place;
  int is_guaranteed;
  int64_t guarantee_since_ms; /* its wait for the guarantee starts here */
  int64_t unplaceable_ms;     /* unused */
};

struct account
{
  int64_t version, requested_version;
  int group_count[SIZE_CLASSES];
};

struct pending_plan
{
  uint32_t account;
  int64_t version;
  int group_count[SIZE_CLASSES];
};

struct check
{
  const char *path; /* of the file of actions */
  int64_t line, now_ms, violations;
  GHashTable *handles[5];
  GArray *workers, *accounts;
  GArray *pending_plans; /* struct pending_plan, submitted in this instant */
  GPtrArray *jobs;
  GHashTable
      *unfinished_jobs;   /* struct job *, set of jobs that have not ended */
  GPtrArray *active_jobs; /* struct job *, running or checkpointing */
  GPtrArray *new_jobs;    /* struct job *, guarantee not yet evaluated */
  GPtrArray
      *guaranteed_jobs; /* struct job *, within their guarantee and queued */
  GPtrArray *started_bulk;     /* struct job *, in this instant */
  int64_t capacity_changed_ms; /* last change of the fleet or the plans */
  int has_summary;
  int print_all;       /* print more than the first violations */
  int ignore_refusals; /* do not check refused plans */
  int baseline;        /* the policy ignores guarantees */
};

enum table
{
  T_WORKER,
  T_RACK,
  T_DOMAIN,
  T_ACCOUNT,
  T_JOB
};

/* Counts a violation and prints it unless the limit is reached.  */
void report_violation (struct check *c, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Return the record of the handle ID, added empty if it is missing.  */
struct worker *worker_at (struct check *c, uint32_t id);
struct job *job_at (struct check *c, uint32_t id);
struct account *account_at (struct check *c, uint32_t id);
/* Returns the handle of the value of FIELD, or -1 if the value is unknown and
   ADD is 0.  */
int64_t handle_of (struct check *c, enum table table, json_t *object,
                   const char *field, int add);

void apply_event (struct check *c, json_t *event);
void apply_action (struct check *c, json_t *action);
/* Releases the tasks and checkpointed jobs that ended by NOW_MS.  */
void release_ended_tasks (struct check *c);
/* Decides which new jobs are within their guarantee.  Call it before the first
   decision of an instant.  */
void classify_new_jobs (struct check *c);
/* Checks guarantees and reports missing actions at the end of an instant.  */
void check_instant (struct check *c);
/* Checks that a summary was written and that no job starved.  */
void check_end (struct check *c);

/* Returns the narrowest level that can hold a gang: 0 one worker, 1 one rack,
   2 one failure domain, 3 none.  */
int gang_level (struct check *c, int tasks, int per_task);
/* Returns whether W is up, not leaving and not quarantined.  */
int is_usable (const struct worker *w);
/* Counts usable workers that can hold one task of JOB.  */
int count_workers_for (struct check *c, const struct job *job);
/* Returns 0 if the whole fleet can never hold the groups of all plans at once.
   This is a necessary condition: plans that fit always pass.  */
int groups_could_fit (struct check *c);
/* Returns whether every group of all plans can be packed beside the running
   jobs that are not preemptible.  A group may enclose such jobs of its own
   account.  */
int plans_fit (struct check *c);
/* Returns whether the unused part of all guarantees can be packed beside the
   jobs that may not be preempted.  */
int guarantees_fit (struct check *c);
/* Returns whether JOB, with the running jobs of its account and those queued
   before it, fits the guarantee of the account.  */
int within_guarantee (struct check *c, const struct job *job);

#endif
