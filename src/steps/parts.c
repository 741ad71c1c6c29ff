/* Optional parts of the decisions, and jobs that are left alone.  */
#include "steps/state.h"

int
pt_is_on (const struct sj_cluster *c, enum sj_part part)
{
  return c->parts >> part & 1;
}

void
sj_set_parts (struct sj_cluster *c, unsigned parts)
{
  struct sj_settings *s = &c->settings;

  c->parts = parts;
  *s = c->wanted_settings;
  if (!pt_is_on (c, SJ_PART_SHARES))
    s->fair_share = 0;
  if (!pt_is_on (c, SJ_PART_HEADROOM))
    s->headroom_forecast = 0;
  if (!pt_is_on (c, SJ_PART_SPEEDS))
    s->speed_aware = 0;
  if (!pt_is_on (c, SJ_PART_WAITS))
    s->reclaim_ms = 0;
}

void
sj_leave_alone (struct sj_cluster *c, const char *id)
{
  g_hash_table_add (c->left_alone, g_strdup (id));
}

int
sj_is_left_alone (const struct sj_cluster *c, const char *id)
{
  return g_hash_table_contains (c->left_alone, id);
}
