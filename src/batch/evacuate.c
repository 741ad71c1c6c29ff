/* Evacuation of failure domains at the operators' request.  Every VM follows
   the requests; the holder starts nothing in a closed domain.  */
#include "batch/batch.h"

int
ev_is_served (const struct batch *b)
{
  return b->settings->evacuation_ms > 0;
}

static void
log_domain (struct batch *b, enum lg_event event, const struct dm_domain *d,
            int64_t version, const char *reason)
{
  int workers = -1, runs = -1;

  if (b->phase == BA_ACTIVE)
    sj_count_domain (b->cluster, d->name, &workers, &runs);
  struct lg_field f[] = { lg_str ("domain", d->name),
                          lg_int ("version", version),
                          lg_int ("workers", workers),
                          lg_int ("runs", runs),
                          lg_int ("closed_ms", b->now_ms - d->closed_ms),
                          lg_str ("reason", reason) };

  lg_log (event, 6, f);
}

static void
log_request (const char *key, int64_t version, const char *reason)
{
  struct lg_field f[] = { lg_str ("key", key), lg_int ("version", version),
                          lg_str ("reason", reason) };

  lg_log (LG_EVACUATION_UNUSUAL, 3, f);
}

static void
apply_change (struct batch *b)
{
  if (b->cluster)
    sj_domains_changed (b->cluster);
}

static void
log_closed (struct batch *b, const struct dm_domain *d, const char *key)
{
  int workers, runs;

  log_domain (b, LG_DOMAIN_CLOSED, d, d->version, "requested");
  if (b->phase != BA_ACTIVE)
    return;
  sj_count_domain (b->cluster, d->name, &workers, &runs);
  if (!workers)
    log_request (key, d->version, "no worker is in the domain");
}

static void
close_domain (struct batch *b, const struct po_row *row, const char *name,
              int generation)
{
  switch (dm_close (&b->domains, name, row->version, generation, b->now_ms))
    {
    case DM_CLOSED:
      apply_change (b);
      log_closed (b, dm_find (&b->domains, name), row->key);
      break;
    case DM_REPEATED:
      log_request (row->key, row->version, "the domain is closed already");
      break;
    case DM_NO_NAME:
      log_request (row->key, row->version, "the request names no domain");
      break;
    case DM_LISTED:
    case DM_REOPENED:
    case DM_NOT_FOUND:
    case DM_OUTDATED:
      break;
    }
}

static void
reopen_domain (struct batch *b, const struct po_row *row, const char *name)
{
  const struct dm_domain *known = dm_find (&b->domains, name);
  struct dm_domain d = known ? *known : (struct dm_domain){ 0 };

  switch (dm_reopen (&b->domains, name, row->version))
    {
    case DM_REOPENED:
      d.name = (char *)name;
      apply_change (b);
      log_domain (b, LG_DOMAIN_REOPENED, &d, row->version, "withdrawn");
      break;
    case DM_CLOSED:
    case DM_LISTED:
    case DM_REPEATED:
    case DM_NOT_FOUND:
    case DM_OUTDATED:
    case DM_NO_NAME:
      break;
    }
}

void
ev_on_row (struct batch *b, const struct po_row *row,
           const struct po_operator_row *op, int generation)
{
  const char *name = op->u.evacuate.domain;

  if (row->deleted)
    {
      reopen_domain (b, row, name);
      return;
    }
  if (!op->u.evacuate.value_is_valid)
    log_request (row->key, row->version, "the value is not a JSON object");
  close_domain (b, row, name, generation);
}

void
ev_on_synced (struct batch *b, int generation)
{
  struct dm_domain d;

  while (dm_reopen_unlisted (&b->domains, generation, &d))
    {
      apply_change (b);
      log_domain (b, LG_DOMAIN_REOPENED, &d, 0, "missing from a full scan");
      g_free (d.name);
    }
}

int
ev_is_known (const struct batch *b)
{
  return !ev_is_served (b) || b->config_follower.synced;
}

int64_t
ev_start_limit_ms (const struct batch *b, int64_t max_ms)
{
  int64_t limit_ms;

  if (!ev_is_served (b))
    return max_ms;
  limit_ms = dm_start_limit_ms (b->config_follower.fresh_ms,
                                b->settings->evacuation_ms, b->now_ms);
  return limit_ms < max_ms ? limit_ms : max_ms;
}

int
ev_check_starts (struct batch *b)
{
  int held = !ev_start_limit_ms (b, 1);
  struct lg_field f[]
      = { lg_int ("held", held),
          lg_int ("age_ms", b->now_ms - b->config_follower.fresh_ms) };

  if (held != b->evacuations_held)
    lg_log (LG_EVACUATION_UNCONFIRMED, 2, f);
  b->evacuations_held = held;
  return held;
}

void
ev_log_term (struct batch *b)
{
  for (int i = 0; i < b->domains.count; i++)
    {
      const struct dm_domain *d = &b->domains.closed[i];

      log_domain (b, LG_DOMAIN_CLOSED, d, d->version,
                  "known at the take-over");
    }
}
