/* Workers on a simulated clock that run what a decision state starts.  */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "decide/heap.h"
#include "skr/decide.h"

enum
{
  FF_MAX_JOBS = 50000,
  FF_MAX_WORKERS = 512
};

enum ff_state
{
  FF_NONE,
  FF_WAITING,
  FF_RUNNING,
  FF_CHECKPOINTING,
  FF_DONE,
  FF_FAILED,
  FF_CANCELLED,
  FF_UNKNOWN,
  FF_REFUSED
};

struct ff_job
{
  enum ff_state state;
  struct dc_job_spec spec;
  int64_t actual_ms, ran_ms, submit_ms, start_ms, first_ms, end_ms, due_ms;
  int32_t attempt, starts, preempted;
  int fails;
  uint32_t position;         /* in the heap of due times */
  struct dc_place place[64]; /* of the first 64 tasks */
};

struct ff_fleet
{
  struct dc *dc;
  int64_t now_ms;
  int error;
  struct ff_job *job;
  uint32_t jobs;
  int fails_all[FF_MAX_WORKERS];
  int quarantined[FF_MAX_WORKERS], quarantines;
  int accepted, refused;
  int64_t version;
  struct hp_heap due;
  /* Called before the clock is set to AT_MS.  */
  void (*before_advance) (struct ff_fleet *f, int64_t at_ms);
  void *arg;
};

void ff_init (struct ff_fleet *f, const struct dc_config *config);
void ff_fini (struct ff_fleet *f);
void ff_worker (struct ff_fleet *f, uint32_t id, uint32_t rack,
                uint32_t domain, int accelerators, int slots);
void ff_worker_event (struct ff_fleet *f, enum dc_event_kind kind,
                      uint32_t id);
void ff_plan (struct ff_fleet *f, uint32_t account, int32_t size,
              int32_t count);
/* Applies a plan that was accepted before a restart.  */
void ff_stored_plan (struct ff_fleet *f, uint32_t account, int32_t size,
                     int32_t count);
/* Submits a job that runs for ACTUAL_MS.  Returns its handle.  */
uint32_t ff_submit (struct ff_fleet *f, struct dc_job_spec spec,
                    int64_t actual_ms);
void ff_cancel (struct ff_fleet *f, uint32_t job);
/* Applies one event without a decision.  */
void ff_apply (struct ff_fleet *f, struct dc_event *e);
/* Decides and carries out the actions.  */
void ff_decide (struct ff_fleet *f);
/* Decides, then advances to AT_MS through all events that are due on the
   way.  */
void ff_run (struct ff_fleet *f, int64_t at_ms);

#endif
