/* Internal state of the random event generator.  */
#ifndef RP_GEN_H
#define RP_GEN_H

#include <gsl/gsl_rng.h>

#include "replay.h"

enum
{
  RP_RECENT_JOBS = 64 /* newest jobs, from which cancellations are drawn */
};

struct rp_gen_worker
{
  struct tr_worker worker;
  int up, leaving;
};

struct rp_gen
{
  struct rp_gen_config config;
  struct tr_tables *tables;
  gsl_rng *rng;
  GTree *pending; /* struct pending *, ordered by time and sequence */
  uint64_t sequence;
  int64_t now_ms;  /* of the last event generated */
  int64_t next_ms; /* of the next arrival */
  int64_t events_made;
  int64_t rush_tasks_left; /* tasks left to submit in the initial rush */
  int ended;
  GArray *workers;             /* struct rp_gen_worker */
  int64_t *plan_version;       /* of the newest plan, indexed by account */
  int64_t accelerators, slots; /* of the whole fleet */
  double backlog_ms;  /* time the fleet needs for the submitted work */
  double mean_gap_ms; /* between arrivals under steady load */
  uint32_t recent_jobs[RP_RECENT_JOBS];
  int64_t submitted_jobs;
};

/* Returns whether the configuration enables FAULT.  */
int rp_gen_is_enabled (const struct rp_gen *gen, enum rp_fault fault);
/* Returns a uniform random integer in [0, N).  */
int rp_gen_uniform (struct rp_gen *gen, int n);
/* Returns 1 with a probability of COUNT per mille, otherwise 0.  */
int rp_gen_chance_per_mille (struct rp_gen *gen, int count);
/* Returns a log-normal duration of the given median and SIGMA, limited to
   1..MAX_MS.  */
int64_t rp_gen_duration_ms (struct rp_gen *gen, double median_ms, double sigma,
                            int64_t max_ms);
/* Adds a copy of EVENT to the pending events.  */
void rp_gen_push (struct rp_gen *gen, const struct tr_event *event);

/* Fill all of SUBMIT except its job handle.  */
void rp_gen_job (struct rp_gen *gen, struct tr_submit *submit);
void rp_gen_small_job (struct rp_gen *gen, struct tr_submit *submit);
void rp_gen_large_job (struct rp_gen *gen, struct tr_submit *submit);
/* Assigns a job handle to SUBMIT and adds its event at AT_MS.  */
void rp_gen_push_job (struct rp_gen *gen, int64_t at_ms,
                      struct tr_submit *submit);
/* Adds the workers and their join events.  */
void rp_gen_push_workers (struct rp_gen *gen);
/* Adds the accounts and their first plans.  */
void rp_gen_push_plans (struct rp_gen *gen);
/* Draws a fault and adds its events if the configuration enables it.  */
void rp_gen_push_fault (struct rp_gen *gen);

#endif
