#include <glib.h>

#include "batch/poll_pace.h"

enum
{
  /* Polls that end without news, a second for each core of the VM: they take
     about a tenth of it.  */
  POLLS_PER_CORE = 1000,
  MAX_WAIT_MS = 2000, /* the longest that a worker allows */
  /* With the long poll and the time of a request, well below the duration of a
     lease.  */
  MAX_PAUSE_MS = 1500,
  /* The interval of a poll grows by this for each 1000 busy workers, beyond
     the longest wait by pauses.  */
  INTERVAL_PER_1000_MS = 300
};

int
pp_wait_ms (const struct pp_load *load, int min_ms)
{
  double interval_ms = load->busy_workers * 1000.0
                       / (POLLS_PER_CORE * MAX (load->cores, 0.01));

  if (load->is_overloaded || interval_ms >= MAX_WAIT_MS)
    return MAX_WAIT_MS;
  return MAX (min_ms, (int)interval_ms);
}

int
pp_pause_ms (const struct pp_load *load)
{
  int excess_ms
      = load->busy_workers * INTERVAL_PER_1000_MS / 1000 - MAX_WAIT_MS;

  if (load->is_overloaded)
    return MAX_PAUSE_MS;
  return CLAMP (excess_ms, 0, MAX_PAUSE_MS);
}
