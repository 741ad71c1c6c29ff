/* The inner state of the generator of random events.  */
#ifndef RP_GEN_H
#define RP_GEN_H

#include <gsl/gsl_rng.h>

#include "replay.h"

enum
{
  RP_RECENT_JOBS = 64 /* that a cancellation may pick from */
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
  GTree *pending; /* struct tr_event of struct rp_pending */
  uint64_t sequence;
  int64_t now_ms;  /* of the last event made */
  int64_t next_ms; /* of the next arrival */
  int64_t made;
  int64_t tasks_left; /* of the first rush */
  int ended;
  GArray *worker;              /* struct rp_gen_worker */
  int64_t *version;            /* of the newest plan, by account */
  int64_t accelerators, slots; /* of the whole fleet */
  double backlog_ms;  /* time the fleet needs for what was submitted */
  double mean_gap_ms; /* between arrivals under steady load */
  uint32_t recent[RP_RECENT_JOBS];
  int64_t submitted;
};

int rp_gen_has (const struct rp_gen *gen, enum rp_fault fault);
/* A whole number below N.  */
int rp_gen_below (struct rp_gen *gen, int n);
/* True with a chance of COUNT in a thousand.  */
int rp_gen_chance (struct rp_gen *gen, int count);
/* A time with the given median, at most MAX_MS.  */
int64_t rp_gen_time (struct rp_gen *gen, double median_ms, double sigma,
                     int64_t max_ms);
/* Makes EVENT happen at its time.  */
void rp_gen_push (struct rp_gen *gen, const struct tr_event *event);

/* Fills SUBMIT but for its job.  */
void rp_gen_job (struct rp_gen *gen, struct tr_submit *submit);
void rp_gen_small_job (struct rp_gen *gen, struct tr_submit *submit);
void rp_gen_large_job (struct rp_gen *gen, struct tr_submit *submit);
void rp_gen_push_job (struct rp_gen *gen, int64_t at_ms,
                      struct tr_submit *submit);
void rp_gen_fleet (struct rp_gen *gen);
void rp_gen_plans (struct rp_gen *gen);
/* One fault out of those in the configuration, or nothing.  */
void rp_gen_fault (struct rp_gen *gen);

#endif
