/* Shows what the clients of an HTTP server hold and what was given up for
   others, as gauges and in the log.  */
#ifndef SKR_SERVE_WATCH_H
#define SKR_SERVE_WATCH_H

#include "skr/serve.h"
#include "skr/stat.h"

struct sw_watch
{
  struct hs_server *server; /* NULL: nothing is shown */
  const char *listener;     /* its name in the log and in labels */
  struct hs_counts logged;
};

/* Sets the gauges in the shard SHARD of REG, and logs event 302 if a
   connection or body was given up since the last call.  To be called once a
   second.  */
void sw_tick (struct sw_watch *w, struct st_registry *reg, int shard);

#endif
