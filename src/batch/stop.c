/* Stages of a planned stop.  */
#include "batch/batch.h"

enum
{
  /* The balancer polls once a second and reacts to two failed polls.  */
  BALANCER_DELAY_MS = 2300,
  FINAL_MARGIN_MS = 800 /* kept free at the end of the grace time */
};

enum ba_stage
ba_stop_stage (int64_t since_ms, int64_t grace_ms, int connections,
               int holds_lease)
{
  if (since_ms < BALANCER_DELAY_MS)
    return BA_SERVE;
  if (since_ms >= grace_ms - FINAL_MARGIN_MS
      || (connections == 0 && !holds_lease))
    return BA_END;
  return BA_DRAIN;
}
