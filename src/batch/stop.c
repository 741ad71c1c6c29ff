/* How a planned stop proceeds.  */
#include "batch/batch.h"

enum
{
  LEAVE_MS = 2300, /* the balancer misses two questions, one a second */
  LAST_MS = 800    /* before the end of the grace time */
};

enum ba_stage
ba_stop_stage (int64_t since_ms, int64_t grace_ms, int connections, int holds)
{
  if (since_ms < LEAVE_MS)
    return BA_SERVE;
  if (since_ms >= grace_ms - LAST_MS || (connections == 0 && !holds))
    return BA_END;
  return BA_DRAIN;
}
