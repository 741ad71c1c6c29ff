/* A lease holder, its store and its workers on one clock.  The workers come
   back under their ids; each call may be lost, or executed late by whichever
   incarnation is there then.  */
#ifndef TESTS_ACKS_FAKE_FLEET_H
#define TESTS_ACKS_FAKE_FLEET_H

#include "batch/holder.h"

enum
{
  FF_MAX_WORKERS = 1200,
  FF_BEGIN_MS = 100000
};

/* How calls fare, and how long things last.  */
struct ff_conditions
{
  int way_ms;       /* to a worker, and back */
  int commit_ms;    /* of a transaction */
  int run_ms;       /* of a task */
  int lost_percent; /* of the calls; a third is not executed, a third is
                       executed at once, the others up to MAX_LATE_MS later */
  int max_late_ms;
  int crash_percent; /* chance of each worker in a second */
  int is_random;     /* times are drawn, up to twice those above */
  /* Leaves the next call with an acknowledgement, or the next try of a start,
     on its way until ff_deliver.  */
  int keeps_ack, keeps_start;
};

struct ff_run
{
  struct sj_run run;
  int64_t end_ms, listed_ms;
  int64_t number;  /* of its end */
  int is_received; /* the holder has seen its end in a listing */
};

struct ff_worker
{
  char id[16];
  int is_up;
  int64_t born_ms, up_at_ms, row_at_ms; /* 0: nothing is due */
  int64_t token, ends_total;
  GArray *runs, *ends; /* struct ff_run */
  int crashes;
};

struct ff_fleet
{
  struct batch batch;
  struct ff_conditions conditions;
  struct ff_worker worker[FF_MAX_WORKERS];
  int workers;
  GPtrArray *calls;
  GRand *random;
  GHashTable *done; /* tasks by job: an end "done" was forgotten by a worker */
  /* What the workers have seen.  */
  int starts, ends, holds, acks;
  int forgotten_unseen; /* ends acknowledged that the holder had not seen */
  int started_again;    /* starts of a task whose end was forgotten */
  int64_t longest_ack_ms, sum_ack_ms;     /* from a listing of an end */
  int64_t longest_start_ms, sum_start_ms; /* from the store's answer */
  int64_t holder_us; /* processor time of the holder's loop */
};

/* Returns the fleet, a static one that the port's functions know, with WORKERS
   workers that have room for eight runs each.  */
struct ff_fleet *ff_init (int workers, unsigned seed);
void ff_fini (struct ff_fleet *f);
void ff_step (struct ff_fleet *f);
void ff_run_ms (struct ff_fleet *f, int64_t ms);
/* Adds a job of TASKS tasks.  */
void ff_add_job (struct ff_fleet *f, int number, int tasks);
/* The calls that are kept arrive now.  */
void ff_deliver (struct ff_fleet *f);
/* The runs of W end now.  */
void ff_end_runs (struct ff_fleet *f, struct ff_worker *w);
/* Crashes W, which is back after DOWN_MS; the table shows it REPORT_MS after
   that.  */
void ff_crash (struct ff_fleet *f, struct ff_worker *w, int down_ms,
               int report_ms);

#endif
