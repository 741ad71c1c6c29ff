/* The set of closed failure domains.  */
#include <glib.h>
#include <string.h>

#include "skr/domains.h"

static struct dm_domain *
find (const struct dm_domains *d, const char *name)
{
  for (int i = 0; name && i < d->count; i++)
    if (!strcmp (d->closed[i].name, name))
      return &d->closed[i];
  return NULL;
}

const struct dm_domain *
dm_find (const struct dm_domains *d, const char *name)
{
  return find (d, name);
}

void
dm_fini (struct dm_domains *d)
{
  for (int i = 0; i < d->count; i++)
    g_free (d->closed[i].name);
  g_free (d->closed);
  *d = (struct dm_domains){ 0 };
}

static void
add (struct dm_domains *d, const struct dm_domain *domain)
{
  enum
  {
    FIRST_ALLOCATION = 8
  };

  if (d->count == d->allocated)
    {
      d->allocated = d->allocated ? d->allocated * 2 : FIRST_ALLOCATION;
      d->closed = g_renew (struct dm_domain, d->closed, d->allocated);
    }
  d->closed[d->count++] = *domain;
}

/* Removes X, whose name the caller has freed or moved.  */
static void
remove_domain (struct dm_domains *d, struct dm_domain *x)
{
  *x = d->closed[--d->count];
}

/* Changes of one row may be delivered again after a scan, the older ones
   first, so a version below the known one is ignored.  */
enum dm_outcome
dm_close (struct dm_domains *d, const char *name, int64_t version,
          int generation, int64_t now)
{
  struct dm_domain *x = find (d, name);
  enum dm_outcome outcome;

  if (!*name)
    return DM_NO_NAME;
  if (!x)
    {
      struct dm_domain added = { .name = g_strdup (name),
                                 .version = version,
                                 .closed_ms = now,
                                 .generation = generation };

      add (d, &added);
      return DM_CLOSED;
    }
  x->generation = generation;
  if (version < x->version)
    return DM_OUTDATED;
  outcome = version == x->version ? DM_LISTED : DM_REPEATED;
  x->version = version;
  return outcome;
}

enum dm_outcome
dm_reopen (struct dm_domains *d, const char *name, int64_t version)
{
  struct dm_domain *x = find (d, name);

  if (!x)
    return *name ? DM_NOT_FOUND : DM_NO_NAME;
  if (version < x->version)
    return DM_OUTDATED;
  g_free (x->name);
  remove_domain (d, x);
  return DM_REOPENED;
}

int
dm_reopen_unlisted (struct dm_domains *d, int generation,
                    struct dm_domain *out)
{
  for (int i = 0; i < d->count; i++)
    if (d->closed[i].generation != generation)
      {
        *out = d->closed[i];
        remove_domain (d, &d->closed[i]);
        return 1;
      }
  return 0;
}

int64_t
dm_start_limit_ms (int64_t confirmed_ms, int64_t evacuation_ms, int64_t now)
{
  int64_t limit_ms = confirmed_ms + evacuation_ms - now;

  if (!confirmed_ms || limit_ms < DM_ORDER_ALLOWANCE_MS)
    return 0;
  return limit_ms - DM_CLOCK_ERROR_MS;
}
