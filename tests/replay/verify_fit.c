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

  for (guint i = 0; i < c->worker->len; i++)
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
level_of (struct check *c, int tasks, int per_task)
{
  for (guint i = 0; i < c->worker->len; i++)
    if (worker_at (c, i)->joined
        && capacity (worker_at (c, i), per_task) >= tasks)
      return 0;
  if (largest_group (c, per_task, 0) >= tasks)
    return 1;
  return largest_group (c, per_task, 1) >= tasks ? 2 : 3;
}

int
usable (const struct worker *w)
{
  return w->up && !w->leaving && !w->quarantined;
}

int
workers_for (struct check *c, const struct job *job)
{
  int count = 0;

  for (guint i = 0; i < c->worker->len; i++)
    count += usable (worker_at (c, i))
             && capacity (worker_at (c, i), job->per_task) > 0;
  return count;
}

static int
class_of (int64_t n)
{
  int k = 0;

  while (k < SIZES - 1 && (INT64_C (1) << k) < n)
    k++;
  return k;
}

/* Room of each worker while groups are packed.  */
struct room
{
  int free;
  uint32_t rack;
};

/* Takes a block that one worker can hold from the fullest that has it.  */
static int
take_block (struct room *room, guint count, int size)
{
  int best = -1;

  for (guint i = 0; i < count; i++)
    if (room[i].free >= size && (best < 0 || room[i].free < room[best].free))
      best = (int)i;
  if (best < 0)
    return 0;
  room[best].free -= size;
  return 1;
}

static int
rack_room (const struct room *room, guint count, uint32_t rack, int most)
{
  int sum = 0;

  for (guint i = 0; i < count; i++)
    if (room[i].rack == rack && room[i].free == most)
      sum += most;
  return sum;
}

/* Takes whole free workers of one rack.  */
static int
take_workers (struct room *room, guint count, int size, int most)
{
  for (guint r = 0; r < count; r++)
    {
      if (rack_room (room, count, room[r].rack, most) < size)
        continue;
      for (guint i = 0; i < count && size > 0; i++)
        if (room[i].rack == room[r].rack && room[i].free == most)
          {
            room[i].free = 0;
            size -= most;
          }
      return 1;
    }
  return 0;
}

/* TAKEN is set to what each worker holds that can't be moved.  */
static int
pack (struct check *c, const int *taken, const int need[SIZES])
{
  guint count = c->worker->len;
  struct room *room = g_new0 (struct room, count + 1);
  int most = 0, ok = 1;

  for (guint i = 0; i < count; i++)
    {
      struct worker *w = worker_at (c, i);

      room[i].rack = w->rack;
      if (w->joined)
        most = MAX (most, w->accelerators);
      if (usable (w))
        room[i].free = MAX (MIN (w->accelerators, w->slots) - taken[i], 0);
    }
  for (int k = SIZES - 1; k >= 0 && ok; k--)
    for (int n = 0; n < need[k] && ok; n++)
      ok = (1 << k) <= most ? take_block (room, count, 1 << k)
                            : take_workers (room, count, 1 << k, most);
  g_free (room);
  return ok;
}

/* Takes a block of 2^K, or splits the next larger one for it.  */
static int
take_split (int left[SIZES], int k)
{
  int j = k;

  while (j < SIZES && !left[j])
    j++;
  if (j == SIZES)
    return 0;
  left[j]--;
  while (j-- > k)
    left[j]++;
  return 1;
}

/* Blocks that LIVE leaves of GROUP; 0 when it does not fit.  */
static int
subtract (const int group[SIZES], const int live[SIZES], int left[SIZES])
{
  memcpy (left, group, SIZES * sizeof *left);
  for (int k = SIZES - 1; k >= 0; k--)
    for (int n = 0; n < live[k]; n++)
      if (!take_split (left, k))
        return 0;
  return 1;
}

static void
sum_running (struct check *c, uint32_t account, int fixed_only,
             int live[SIZES])
{
  memset (live, 0, SIZES * sizeof *live);
  for (guint i = 0; i < c->active->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active, i);

      if (j->account == account && j->per_task
          && (!fixed_only || !j->preemptible))
        live[class_of ((int64_t)j->tasks * j->per_task)]++;
    }
}

/* Does ACCOUNT run no more than its guarantee?  LEFT is what stays.  */
static int
runs_within (struct check *c, uint32_t account, int left[SIZES])
{
  int live[SIZES];

  sum_running (c, account, 0, live);
  return subtract (account_at (c, account)->group, live, left);
}

static void
take_fixed (struct check *c, const int *within, int *taken)
{
  for (guint i = 0; i < c->active->len; i++)
    {
      const struct job *j = g_ptr_array_index (c->active, i);

      if (j->preemptible && !within[j->account])
        continue;
      for (int t = 0; t < j->tasks; t++)
        if (!j->place[t].freed)
          taken[j->place[t].worker] += MAX (j->per_task, 1);
    }
}

int
guarantees_hold (struct check *c)
{
  int *taken = g_new0 (int, c->worker->len + 1);
  int *within = g_new0 (int, c->account->len + 1);
  int need[SIZES] = { 0 };
  int ok = 1;

  for (guint a = 0; a < c->account->len && ok; a++)
    {
      int left[SIZES], live[SIZES];

      within[a] = runs_within (c, a, left);
      if (!within[a])
        {
          sum_running (c, a, 1, live);
          ok = subtract (account_at (c, a)->group, live, left);
        }
      for (int k = 0; k < SIZES && ok; k++)
        need[k] += left[k];
    }
  take_fixed (c, within, taken);
  ok = ok && pack (c, taken, need);
  g_free (taken);
  g_free (within);
  return ok;
}

int
within_guarantee (struct check *c, const struct job *job)
{
  int live[SIZES], left[SIZES];
  GHashTableIter iter;
  gpointer key;

  if (!job->per_task)
    return 0;
  sum_running (c, job->account, 0, live);
  g_hash_table_iter_init (&iter, c->live);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct job *j = key;

      if (j->state == QUEUED && j->account == job->account && j->per_task
          && (j == job
              || (j->submitted_ms <= job->submitted_ms
                  && (j->urgent || !job->urgent))))
        live[class_of ((int64_t)j->tasks * j->per_task)]++;
    }
  return subtract (account_at (c, job->account)->group, live, left);
}
