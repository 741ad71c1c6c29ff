/* How often workers are polled.  Load that it answers: as many busy workers as
   a VM can just serve, and a burst of starts.  Polls only tell the pace of the
   runs and renew leases that last far longer, so they give way to starts and
   stops.  Ends are told by a poll in progress at once.  No I/O.  */
#ifndef SKR_BATCH_POLL_PACE_H
#define SKR_BATCH_POLL_PACE_H

struct pp_load
{
  int busy_workers;
  double cores;      /* of this VM */
  int is_overloaded; /* this process reads answers late */
};

/* Milliseconds that the next long poll of a busy worker lasts, MIN_MS if the
   load allows.  */
int pp_wait_ms (const struct pp_load *load, int min_ms);
/* Pause after it, during which ends are not heard of.  */
int pp_pause_ms (const struct pp_load *load);

#endif
