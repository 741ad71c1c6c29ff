#include <stdio.h>

#include "skr/log.h"
#include "skr/serve_watch.h"

static void
set (const struct sw_watch *w, struct st_registry *reg, int shard,
     enum st_kind kind, const char *name, int64_t value)
{
  char labels[ST_LABELS_SIZE];

  snprintf (labels, sizeof labels, "listener=\"%s\"", w->listener);
  st_set (reg, shard, st_series (reg, kind, name, labels), value);
}

void
sw_tick (struct sw_watch *w, struct st_registry *reg, int shard)
{
  struct hs_counts n;

  if (!w->server)
    return;
  hs_count (w->server, &n);
  set (w, reg, shard, ST_GAUGE, "skr_listener_connections", n.open);
  set (w, reg, shard, ST_GAUGE, "skr_listener_body_bytes", (int64_t)n.held);
  set (w, reg, shard, ST_COUNTER, "skr_listener_closed_total", n.closed);
  set (w, reg, shard, ST_COUNTER, "skr_listener_dropped_total", n.dropped);
  if (n.closed != w->logged.closed || n.dropped != w->logged.dropped)
    lg_log (
        LG_CLIENTS_GIVEN_UP, 5,
        (struct lg_field[]){ lg_str ("listener", w->listener),
                             lg_int ("closed", n.closed - w->logged.closed),
                             lg_int ("dropped", n.dropped - w->logged.dropped),
                             lg_int ("open", n.open),
                             lg_int ("body_bytes", (int64_t)n.held) });
  w->logged = n;
}
