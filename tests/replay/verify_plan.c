/* Checks whether all guarantees can be packed beside the jobs that are not
   preemptible.  Each group occupies one worker or whole workers of one rack,
   and may enclose such jobs of its own account.  Also checks whether the fleet
   could hold the groups when idle.  */
#include "verify.h"

enum
{
  PROBATION_MS = 125000 /* time after which a readmitted worker may hold
                           guarantees again */
};

struct worker_capacity
{
  int free; /* accelerators; negative if tasks without accelerators use
               slots too */
  uint32_t rack;
};

struct packing
{
  struct check *c;
  struct worker_capacity *capacity;
  int *is_counted;    /* by active job: enclosed by a placed group */
  int largest_worker; /* its number of accelerators */
};

static int
holds_guarantees (const struct check *c, const struct worker *w)
{
  return is_usable (w)
         && (!w->on_probation
             || c->now_ms >= w->probation_since_ms + PROBATION_MS);
}

static const struct job *
active_at (const struct packing *p, guint i)
{
  return g_ptr_array_index (p->c->active_jobs, i);
}

/* Returns the accelerators that active job I holds on WORKER, or 0 if it also
   runs on other workers.  */
static int
accelerators_on (const struct packing *p, guint i, uint32_t worker)
{
  const struct job *j = active_at (p, i);
  int sum = 0;

  for (int t = 0; t < j->tasks; t++)
    {
      if (j->place[t].released)
        continue;
      if (j->place[t].worker != worker)
        return 0;
      sum += j->per_task;
    }
  return sum;
}

static void
init_capacity (struct packing *p)
{
  for (guint i = 0; i < p->c->workers->len; i++)
    {
      const struct worker *w = worker_at (p->c, i);

      p->capacity[i].rack = w->rack;
      if (w->joined)
        p->largest_worker = MAX (p->largest_worker, w->accelerators);
      if (holds_guarantees (p->c, w))
        p->capacity[i].free = MIN (w->accelerators, w->slots);
    }
  for (guint i = 0; i < p->c->active_jobs->len; i++)
    {
      const struct job *j = active_at (p, i);

      for (int t = 0; t < j->tasks && !j->preemptible; t++)
        if (!j->place[t].released)
          p->capacity[j->place[t].worker].free -= MAX (j->per_task, 1);
    }
}

/* Returns the accelerators of ACCOUNT's jobs on WORKER that a group of SIZE
   can enclose.  With TAKE these jobs are marked as enclosed.  */
static int
sum_enclosed_jobs (struct packing *p, uint32_t account, uint32_t worker,
                   int size, int take)
{
  int sum = 0;

  for (guint i = 0; i < p->c->active_jobs->len; i++)
    {
      const struct job *j = active_at (p, i);
      int share;

      if (j->account != account || j->preemptible || p->is_counted[i])
        continue;
      share = accelerators_on (p, i, worker);
      if (share == 0 || sum + share > size)
        continue;
      sum += share;
      if (take)
        p->is_counted[i] = 1;
    }
  return sum;
}

/* Places a group where it encloses the most accelerators of its account.  */
static int
place_around_jobs (struct packing *p, uint32_t account, int size)
{
  int best = -1, most = 0;

  for (guint w = 0; w < p->c->workers->len; w++)
    {
      int sum;

      if (!holds_guarantees (p->c, worker_at (p->c, w)))
        continue;
      sum = sum_enclosed_jobs (p, account, w, size, 0);
      if (sum <= most || p->capacity[w].free + sum < size)
        continue;
      most = sum;
      best = (int)w;
    }
  if (best < 0)
    return 0;
  sum_enclosed_jobs (p, account, (uint32_t)best, size, 1);
  p->capacity[best].free -= size - most;
  return 1;
}

/* Places a group on the worker with the least sufficient capacity.  */
static int
place_in_worker (struct packing *p, int size)
{
  int best = -1;

  for (guint i = 0; i < p->c->workers->len; i++)
    if (p->capacity[i].free >= size
        && (best < 0 || p->capacity[i].free < p->capacity[best].free))
      best = (int)i;
  if (best < 0)
    return 0;
  p->capacity[best].free -= size;
  return 1;
}

/* Places a group on empty workers of one rack.  */
static int
place_in_rack (struct packing *p, int size)
{
  guint count = p->c->workers->len;

  for (guint r = 0; r < count; r++)
    {
      int sum = 0;

      for (guint i = 0; i < count; i++)
        if (p->capacity[i].rack == p->capacity[r].rack
            && p->capacity[i].free == p->largest_worker)
          sum += p->largest_worker;
      if (sum < size)
        continue;
      for (guint i = 0; i < count && size > 0; i++)
        if (p->capacity[i].rack == p->capacity[r].rack
            && p->capacity[i].free == p->largest_worker)
          {
            p->capacity[i].free = 0;
            size -= p->largest_worker;
          }
      return 1;
    }
  return 0;
}

static int
place_groups_of_size (struct packing *p, int k)
{
  int size = 1 << k;

  for (guint a = 0; a < p->c->accounts->len; a++)
    for (int n = 0; n < account_at (p->c, a)->group_count[k]; n++)
      if (size > p->largest_worker
              ? !place_in_rack (p, size)
              : !place_around_jobs (p, a, size) && !place_in_worker (p, size))
        return 0;
  return 1;
}

int
plans_fit (struct check *c)
{
  struct packing p
      = { .c = c,
          .capacity = g_new0 (struct worker_capacity, c->workers->len + 1),
          .is_counted = g_new0 (int, c->active_jobs->len + 1) };
  int ok = 1;

  init_capacity (&p);
  for (int k = SIZE_CLASSES - 1; k >= 0 && ok; k--)
    ok = place_groups_of_size (&p, k);
  g_free (p.capacity);
  g_free (p.is_counted);
  return ok;
}

/* Returns the narrowest level that holds a group of 2^K: 0 one worker, 1 one
   rack, 2 one failure domain, 3 none.  */
static int
group_level (struct check *c, int k, int most)
{
  int least = 3;

  if ((1 << k) <= most)
    return 0;
  for (int i = 0; i <= k && (1 << i) <= most; i++)
    least = MIN (least, gang_level (c, 1 << (k - i), 1 << i));
  return MAX (least, 1);
}

/* Counts the groups of 2^K that the workers, racks or failure domains of the
   fleet can hold, each domain of LEVEL on its own.  */
static int64_t
count_places (struct check *c, int k, int level)
{
  GHashTable *sum = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer value;
  int64_t count = 0;

  for (guint i = 0; i < c->workers->len; i++)
    {
      const struct worker *w = worker_at (c, i);
      guint key = level == 0 ? i : level == 1 ? w->rack : w->domain;
      gpointer bin = GUINT_TO_POINTER (key);

      if (w->joined)
        g_hash_table_insert (
            sum, bin,
            GINT_TO_POINTER (GPOINTER_TO_INT (g_hash_table_lookup (sum, bin))
                             + w->accelerators));
    }
  g_hash_table_iter_init (&iter, sum);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += GPOINTER_TO_INT (value) >> k;
  g_hash_table_destroy (sum);
  return count;
}

static void
measure_fleet (struct check *c, int64_t *total, int *most)
{
  for (guint i = 0; i < c->workers->len; i++)
    if (worker_at (c, i)->joined)
      {
        *total += worker_at (c, i)->accelerators;
        *most = MAX (*most, worker_at (c, i)->accelerators);
      }
}

/* A group of 2^j can be replaced by 2^(j-k) groups of 2^k at the same level.
   Groups of a wider level first use the accelerators that cannot hold a group
   of 2^k.  */
int
groups_could_fit (struct check *c)
{
  int64_t groups = 0, wider = 0, total = 0;
  int most = 0, last = 3;

  measure_fleet (c, &total, &most);
  for (int k = SIZE_CLASSES - 1; k >= 0; k--)
    {
      int level = group_level (c, k, most);
      int64_t have, excess, need = 0;

      for (guint i = 0; i < c->accounts->len; i++)
        need += account_at (c, i)->group_count[k];
      if (level < last)
        {
          wider += groups << (k + 1);
          groups = 0;
          last = level;
        }
      groups = groups * 2 + need;
      if (groups == 0)
        continue;
      if (level == 3)
        return 0;
      have = count_places (c, k, level);
      excess = MAX (wider - (total - (have << k)), 0);
      if (groups + ((excess + (1 << k) - 1) >> k) > have)
        return 0;
    }
  return 1;
}
