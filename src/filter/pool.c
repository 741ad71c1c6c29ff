#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "filter/pool.h"

void
fl_pool_init (struct fl_pool *p, const char *self)
{
  memset (p, 0, sizeof *p);
  snprintf (p->self, sizeof p->self, "%s", self);
}

static int
find (const struct fl_pool *p, const char *id)
{
  for (int i = 0; i < p->count; i++)
    if (p->up[i].in_use && !strcmp (p->up[i].id, id))
      return i;
  return FL_POOL_NONE;
}

static int
find_or_add (struct fl_pool *p, const char *id)
{
  int i = find (p, id);

  if (i >= 0)
    return i;
  for (i = 0; i < p->count; i++)
    if (!p->up[i].in_use)
      break;
  if (i == FL_POOL_MAX_UPSTREAMS)
    return FL_EFULL;
  if (i == p->count)
    p->count++;
  p->up[i] = (struct fl_upstream){ .in_use = 1 };
  snprintf (p->up[i].id, sizeof p->up[i].id, "%s", id);
  return i;
}

/* Returns the index of the entry VM that owns slot or connection N of upstream
   ID: the one with the highest hash.  */
static int
owner (const struct fl_pool *p, const char *id, int n)
{
  char text[2 * PR_ID_SIZE + 16];
  XXH64_hash_t best = 0;
  int best_entry = 0;

  for (int e = 0; e < p->entries; e++)
    {
      int size = snprintf (text, sizeof text, "%s/%d/%s", id, n, p->entry[e]);
      XXH64_hash_t hash = XXH3_64bits (text, (size_t)size);

      if (!e || hash > best)
        {
          best = hash;
          best_entry = e;
        }
    }
  return best_entry;
}

static int
own_share (const struct fl_pool *p, const char *id, int total)
{
  int share = 0;

  for (int n = 0; n < total; n++)
    if (strcmp (p->entry[owner (p, id, n)], p->self) == 0)
      share++;
  return share;
}

static void
add_entry (struct fl_pool *p, const char *id)
{
  for (int i = 0; i < p->entries; i++)
    if (!strcmp (p->entry[i], id))
      return;
  if (p->entries < FL_POOL_MAX_ENTRIES)
    snprintf (p->entry[p->entries++], PR_ID_SIZE, "%s", id);
}

static void
update_worker (struct fl_upstream *u, const struct fl_vm *vm)
{
  if (strcmp (u->address, vm->address) != 0)
    {
      /* A new address is a new process with the same id, so the state of
         the old one does not apply.  */
      u->failures = u->ejections = 0;
      u->ejected_until_ms = u->leaving_until_ms = u->granted_until_ms = 0;
    }
  snprintf (u->address, sizeof u->address, "%s", vm->address);
  snprintf (u->cell, sizeof u->cell, "%s", vm->cell);
  u->listed = 1;
  u->leaving = vm->leaving;
  u->slots = vm->slots;
  u->connections = vm->connections;
}

int
fl_pool_set_vms (struct fl_pool *p, const struct fl_vm *vm, int count)
{
  int error = FL_OK;

  for (int i = 0; i < p->count; i++)
    p->up[i].listed = 0;
  p->entries = 0;
  add_entry (p, p->self);
  for (int v = 0; v < count; v++)
    if (vm[v].is_entry)
      {
        if (!vm[v].leaving)
          add_entry (p, vm[v].id);
      }
    else
      {
        int i = find_or_add (p, vm[v].id);

        if (i < 0)
          error = FL_EFULL;
        else
          update_worker (&p->up[i], &vm[v]);
      }
  for (int i = 0; i < p->count; i++)
    {
      struct fl_upstream *u = &p->up[i];

      if (!u->in_use)
        continue;
      u->in_use = u->listed || u->in_flight;
      u->share_slots = own_share (p, u->id, u->slots);
      u->share_connections = own_share (p, u->id, u->connections);
    }
  return error;
}

static struct fl_grant *
grant_of (struct fl_pool *p, const char *cell)
{
  for (int i = 0; i < p->grants; i++)
    if (!strcmp (p->grant[i].cell, cell))
      return &p->grant[i];
  if (p->grants == CF_MAX_CELLS)
    return NULL;
  p->grant[p->grants] = (struct fl_grant){ .epoch = -1 };
  snprintf (p->grant[p->grants].cell, PR_ID_SIZE, "%s", cell);
  return &p->grant[p->grants++];
}

int
fl_pool_apply_grant (struct fl_pool *p, const struct pr_credits *credits,
                     int64_t now_ms)
{
  struct fl_grant *grant = grant_of (p, credits->cell);

  if (!grant)
    return FL_EFULL;
  if (credits->epoch < grant->epoch
      || credits->stamp_ms + credits->valid_ms <= now_ms)
    return FL_ESTALE;
  grant->epoch = credits->epoch;
  grant->until_ms = credits->stamp_ms + credits->valid_ms;
  for (int i = 0; i < credits->count; i++)
    {
      const struct pr_credit *c = &credits->credit[i];
      int u = find (p, c->worker);

      if (u < 0)
        continue; /* not listed yet; the next grant comes within seconds */
      p->up[u].granted_slots = c->slots;
      p->up[u].granted_connections = c->connections;
      p->up[u].granted_until_ms = grant->until_ms;
    }
  return FL_OK;
}

static int
cell_granted (const struct fl_pool *p, const char *cell, int64_t now_ms)
{
  for (int i = 0; i < p->grants; i++)
    if (!strcmp (p->grant[i].cell, cell))
      return now_ms < p->grant[i].until_ms;
  return 0;
}

static int
smaller (int a, int b)
{
  return a < b ? a : b;
}

static int
is_open (const struct fl_upstream *u, int64_t now_ms)
{
  return u->in_use && u->listed && !u->leaving
         && now_ms >= u->leaving_until_ms;
}

int
fl_pool_allowed_slots (const struct fl_pool *p, int i, int64_t now_ms)
{
  const struct fl_upstream *u = &p->up[i];

  if (!is_open (u, now_ms) || now_ms < u->ejected_until_ms)
    return 0;
  if (now_ms < u->granted_until_ms)
    return smaller (u->granted_slots, u->granted_connections);
  if (cell_granted (p, u->cell, now_ms))
    return 0;
  return smaller (u->share_slots, u->share_connections);
}

static int
free_slots (const struct fl_pool *p, int i, int64_t now_ms)
{
  if (now_ms < p->up[i].busy_until_ms)
    return 0;
  return fl_pool_allowed_slots (p, i, now_ms) - p->up[i].in_flight;
}

static int
any_open (const struct fl_pool *p, int64_t now_ms)
{
  for (int i = 0; i < p->count; i++)
    if (is_open (&p->up[i], now_ms))
      return 1;
  return 0;
}

/* Returns the N-th upstream, from 0, with a free slot, AVOID not counted.  */
static int
nth_free (const struct fl_pool *p, int64_t now_ms, int avoid, int n)
{
  for (int i = 0; i < p->count; i++)
    if (i != avoid && free_slots (p, i, now_ms) > 0 && !n--)
      return i;
  return FL_POOL_NONE;
}

int
fl_pool_acquire (struct fl_pool *p, int64_t now_ms, int avoid,
                 const gsl_rng *rng)
{
  int candidates = 0, a, b;

  for (int i = 0; i < p->count; i++)
    if (i != avoid && free_slots (p, i, now_ms) > 0)
      candidates++;
  if (!candidates)
    {
      if (avoid < 0 || avoid >= p->count || free_slots (p, avoid, now_ms) <= 0)
        return any_open (p, now_ms) ? FL_EBUSY : FL_ENOENT;
      p->up[avoid].in_flight++;
      return avoid;
    }
  a = nth_free (p, now_ms, avoid,
                (int)gsl_rng_uniform_int (rng, (unsigned long)candidates));
  b = nth_free (p, now_ms, avoid,
                (int)gsl_rng_uniform_int (rng, (unsigned long)candidates));
  if (free_slots (p, b, now_ms) > free_slots (p, a, now_ms))
    a = b;
  p->up[a].in_flight++;
  return a;
}

/* True when FL_POOL_MIN_OPEN_PERCENT of the open upstreams remain after one
   more ejection.  */
static int
above_floor (const struct fl_pool *p, int64_t now_ms)
{
  int open = 0, ejected = 0;

  for (int i = 0; i < p->count; i++)
    if (is_open (&p->up[i], now_ms))
      {
        open++;
        ejected += now_ms < p->up[i].ejected_until_ms;
      }
  return (open - ejected - 1) * 100 >= open * FL_POOL_MIN_OPEN_PERCENT;
}

static void
on_failure (struct fl_pool *p, struct fl_upstream *u, int64_t now_ms)
{
  int64_t ms = FL_POOL_EJECT_MS;

  if (++u->failures < FL_POOL_EJECT_FAILURES || !above_floor (p, now_ms))
    return;
  for (int i = 0; i < u->ejections && ms < FL_POOL_EJECT_MAX_MS; i++)
    ms *= 2;
  u->ejections++;
  u->failures = 0;
  u->ejected_until_ms
      = now_ms + (ms < FL_POOL_EJECT_MAX_MS ? ms : FL_POOL_EJECT_MAX_MS);
}

void
fl_pool_release (struct fl_pool *p, int i, enum fl_outcome outcome,
                 int64_t now_ms)
{
  struct fl_upstream *u = &p->up[i];

  u->in_flight--;
  switch (outcome)
    {
    case FL_OUTCOME_OK:
      u->failures = 0;
      u->ejections = 0;
      break;
    case FL_OUTCOME_BUSY:
      u->busy_until_ms = now_ms + FL_POOL_BUSY_MS;
      break;
    case FL_OUTCOME_LEAVING:
      u->leaving_until_ms = now_ms + FL_POOL_LEAVING_MS;
      break;
    case FL_OUTCOME_UNREACHED:
      if (above_floor (p, now_ms))
        u->ejected_until_ms = now_ms + FL_POOL_UNREACHED_EJECT_MS;
      on_failure (p, u, now_ms);
      break;
    case FL_OUTCOME_FAILED:
      on_failure (p, u, now_ms);
      break;
    }
  if (!u->listed && !u->in_flight)
    u->in_use = 0;
}
