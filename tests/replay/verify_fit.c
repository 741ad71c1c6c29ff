#include <string.h>

#include "verify.h"

static int
capacity (const struct worker *w, int per_task)
{
  int fits = per_task ? w->accelerators / per_task : w->slots;

  return MIN (fits, w->slots);
}

static int
largest_group (struct check *c, int per_task, int by_domain)
{
  GArray *sum = g_array_new (FALSE, TRUE, sizeof (int));
  int best = 0;

  for (guint i = 0; i < c->workers->len; i++)
    {
      struct worker *w = worker_at (c, i);
      uint32_t group = by_domain ? w->domain : w->rack;

      if (!w->joined)
        continue;
      if (sum->len <= group)
        g_array_set_size (sum, group + 1);
      g_array_index (sum, int, group) += capacity (w, per_task);
      best = MAX (best, g_array_index (sum, int, group));
    }
  g_array_free (sum, TRUE);
  return best;
}

int
gang_level (struct check *c, int tasks, int per_task)
{
  for (guint i = 0; i < c->workers->len; i++)
    if (worker_at (c, i)->joined
        && capacity (worker_at (c, i), per_task) >= tasks)
      return 0;
  if (largest_group (c, per_task, 0) >= tasks)
    return 1;
  return largest_group (c, per_task, 1) >= tasks ? 2 : 3;
}

int
is_usable (const struct worker *w)
{
  return w->up && !w->leaving && !w->quarantined;
}

int
count_workers_for (struct check *c, const struct job *job)
{
  int count = 0;

  for (guint i = 0; i < c->workers->len; i++)
    count += is_usable (worker_at (c, i))
             && capacity (worker_at (c, i), job->per_task) > 0;
  return count;
}

static int
size_class (int64_t n)
{
  int k = 0;

  while (k < SIZE_CLASSES - 1 && (INT64_C (1) << k) < n)
    k++;
  return k;
}

/* Free capacity of a worker while groups are packed.  */
struct worker_capacity
{
  int free;
  uint32_t rack;
};

/* Reserves a block of SIZE on the worker with the least sufficient free
   capacity.  Returns 0 if there is none.  */
static int
reserve_block (struct worker_capacity *worker_capacity, guint count, int size)
{
  int best = -1;

  for (guint i = 0; i < count; i++)
    if (worker_capacity[i].free >= size
        && (best < 0 || worker_capacity[i].free < worker_capacity[best].free))
      best = (int)i;
  if (best < 0)
    return 0;
  worker_capacity[best].free -= size;
  return 1;
}

static int
rack_capacity (const struct worker_capacity *worker_capacity, guint count,
               uint32_t rack, int largest)
{
  int sum = 0;

  for (guint i = 0; i < count; i++)
    if (worker_capacity[i].rack == rack && worker_capacity[i].free == largest)
      sum += largest;
  return sum;
}

/* Reserves empty workers of one rack for a group of SIZE.  Returns 0 if no
   rack has enough.  */
static int
reserve_rack_workers (struct worker_capacity *worker_capacity, guint count,
                      int size, int largest)
{
  for (guint r = 0; r < count; r++)
    {
      if (rack_capacity (worker_capacity, count, worker_capacity[r].rack,
                         largest)
          < size)
        continue;
      for (guint i = 0; i < count && size > 0; i++)
        if (worker_capacity[i].rack == worker_capacity[r].rack
            && worker_capacity[i].free == largest)
          {
            worker_capacity[i].free = 0;
            size -= largest;
          }
      return 1;
    }
  return 0;
}

/* Returns whether the blocks of NEED, counted by size class, can be packed.
   USED is the immovable usage of each worker.  */
static int
groups_fit (struct check *c, const int *used, const int need[SIZE_CLASSES])
{
  guint count = c->workers->len;
  struct worker_capacity *worker_capacity
      = g_new0 (struct worker_capacity, count + 1);
  int largest = 0, ok = 1;

  for (guint i = 0; i < count; i++)
    {
      struct worker *w = worker_at (c, i);

      worker_capacity[i].rack = w->rack;
      if (w->joined)
        largest = MAX (largest, w->accelerators);
      if (is_usable (w))
        worker_capacity[i].free
            = MAX (MIN (w->accelerators, w->slots) - used[i], 0);
    }
  for (int k = SIZE_CLASSES - 1; k >= 0 && ok; k--)
    for (int n = 0; n < need[k] && ok; n++)
      ok = (1 << k) <= largest ? reserve_block (worker_capacity, count, 1 << k)
                               : reserve_rack_workers (worker_capacity, count,
                                                       1 << k, largest);
  g_free (worker_capacity);
  return ok;
}

/* Takes a block of 2^K out of LEFT, splitting the next larger one if needed.
   Returns 0 if there is none.  */
static int
reserve_split (int left[SIZE_CLASSES], int k)
{
  int j = k;

  while (j < SIZE_CLASSES && !left[j])
    j++;
  if (j == SIZE_CLASSES)
    return 0;
  left[j]--;
  while (j-- > k)
    left[j]++;
  return 1;
}

/* Sets LEFT to the blocks that RUNNING leaves of GROUP.  Returns 0 if RUNNING
   does not fit.  */
static int
subtract (const int group[SIZE_CLASSES], const int running[SIZE_CLASSES],
          int left[SIZE_CLASSES])
{
  memcpy (left, group, SIZE_CLASSES * sizeof *left);
  for (int k = SIZE_CLASSES - 1; k >= 0; k--)
    for (int n = 0; n < running[k]; n++)
      if (!reserve_split (left, k))
        return 0;
  return 1;
}

static void
sum_running (struct check *c, uint32_t account, int fixed_only,
             int running[SIZE_CLASSES])
{
  memset (running, 0, SIZE_CLASSES * sizeof *running);
  for (guint i = 0; i < c->active_jobs->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active_jobs, i);

      if (j->account == account && j->per_task
          && (!fixed_only || !j->preemptible))
        running[size_class ((int64_t)j->tasks * j->per_task)]++;
    }
}

/* Returns whether the running jobs of ACCOUNT fit its guarantee and sets LEFT
   to the unused blocks.  */
static int
is_within_guarantee (struct check *c, uint32_t account, int left[SIZE_CLASSES])
{
  int running[SIZE_CLASSES];

  sum_running (c, account, 0, running);
  return subtract (account_at (c, account)->group_count, running, left);
}

static void
add_fixed_usage (struct check *c, const int *within, int *used)
{
  for (guint i = 0; i < c->active_jobs->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active_jobs, i);

      if (j->preemptible && !within[j->account])
        continue;
      for (int t = 0; t < j->tasks; t++)
        if (!j->place[t].released)
          used[j->place[t].worker] += MAX (j->per_task, 1);
    }
}

int
guarantees_fit (struct check *c)
{
  int *used = g_new0 (int, c->workers->len + 1);
  int *within = g_new0 (int, c->accounts->len + 1);
  int need[SIZE_CLASSES] = { 0 };
  int ok = 1;

  for (guint a = 0; a < c->accounts->len && ok; a++)
    {
      int left[SIZE_CLASSES], running[SIZE_CLASSES];

      within[a] = is_within_guarantee (c, a, left);
      if (!within[a])
        {
          sum_running (c, a, 1, running);
          ok = subtract (account_at (c, a)->group_count, running, left);
        }
      for (int k = 0; k < SIZE_CLASSES && ok; k++)
        need[k] += left[k];
    }
  add_fixed_usage (c, within, used);
  ok = ok && groups_fit (c, used, need);
  g_free (used);
  g_free (within);
  return ok;
}

int
within_guarantee (struct check *c, const struct job *job)
{
  int running[SIZE_CLASSES], left[SIZE_CLASSES];
  GHashTableIter iter;
  gpointer key;

  if (!job->per_task)
    return 0;
  sum_running (c, job->account, 0, running);
  g_hash_table_iter_init (&iter, c->unfinished_jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct job *j = key;

      if (j->state == QUEUED && j->account == job->account && j->per_task
          && (j == job
              || (j->submitted_ms <= job->submitted_ms
                  && (j->urgent || !job->urgent))))
        running[size_class ((int64_t)j->tasks * j->per_task)]++;
    }
  return subtract (account_at (c, job->account)->group_count, running, left);
}
