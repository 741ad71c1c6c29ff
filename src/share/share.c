/* The accounts' use of the fleet and their shares.  */
#include <math.h>

#include "skr/share.h"

/* An account counts as above its share from 1.1 times on, and as within it
   again at 1.0 times, so that it does not change with each task.  */
static const double over_factor = 1.1;
/* Use below this fraction of the capacity is taken for none.  */
static const double least_use = 0.0005;
/* Half of the capacity in use is due to the active accounts in equal parts,
   the other half by weight.  So an account of any weight is entitled to half
   of an equal split, and is served at least half as well as the mean.  */
static const double equal_part = 0.5;

void
fs_init (struct fs_table *t)
{
  *t = (struct fs_table){ 0 };
  t->accounts = g_array_new (FALSE, TRUE, sizeof (struct fs_account));
  t->by_name = g_hash_table_new (g_str_hash, g_str_equal);
}

static struct fs_account *
account_at (const struct fs_table *t, int account)
{
  return &g_array_index (t->accounts, struct fs_account, account);
}

void
fs_fini (struct fs_table *t)
{
  g_hash_table_destroy (t->by_name);
  for (int i = 0; i < fs_count (t); i++)
    g_free (account_at (t, i)->name);
  g_array_free (t->accounts, TRUE);
}

int
fs_count (const struct fs_table *t)
{
  return (int)t->accounts->len;
}

const struct fs_account *
fs_get (const struct fs_table *t, int account)
{
  return account_at (t, account);
}

int
fs_find (struct fs_table *t, const char *name)
{
  struct fs_account a = { .weight = 1 };
  int handle = GPOINTER_TO_INT (g_hash_table_lookup (t->by_name, name));

  if (handle)
    return handle - 1;
  a.name = g_strdup (name);
  g_array_append_val (t->accounts, a);
  g_hash_table_insert (t->by_name, a.name, GINT_TO_POINTER (fs_count (t)));
  return fs_count (t) - 1;
}

int
fs_set_weight (struct fs_table *t, int account, int64_t weight)
{
  account_at (t, account)->weight = weight > 0 ? weight : 1;
  return weight <= 0;
}

void
fs_begin_update (struct fs_table *t, const struct fs_amount *capacity)
{
  t->capacity = *capacity;
  for (int i = 0; i < fs_count (t); i++)
    {
      struct fs_account *a = account_at (t, i);

      a->running = a->waiting = 0;
      a->now = (struct fs_amount){ { 0 } };
    }
}

void
fs_add_running (struct fs_table *t, int account, const struct fs_amount *task)
{
  struct fs_account *a = account_at (t, account);

  a->running++;
  fs_add_work (&a->now, task);
}

void
fs_add_waiting (struct fs_table *t, int account, int tasks)
{
  account_at (t, account)->waiting += tasks;
}

/* Sets A's use and dominant fraction.  The present use counts in full, so
   that a burst shows at once; past use counts until it has decayed.  */
static void
update_use (const struct fs_table *t, struct fs_account *a, double kept)
{
  double now = 0, past = 0;

  for (int k = 0; k < FS_RESOURCES; k++)
    {
      double fraction
          = t->capacity.of[k] > 0 ? a->now.of[k] / t->capacity.of[k] : 0;

      a->now.of[k] = fraction;
      a->past.of[k] = a->past.of[k] * kept + fraction * (1 - kept);
      now = fmax (now, fraction);
      past = fmax (past, a->past.of[k]);
    }
  a->share = fmax (now, past);
}

static int
is_active (const struct fs_account *a)
{
  return a->running || a->waiting || a->share > least_use;
}

void
fs_end_update (struct fs_table *t, int64_t now)
{
  double kept = t->updated_ms
                    ? exp2 (-(double)(now - t->updated_ms) / FS_HALF_LIFE_MS)
                    : 0;
  double used = 0, weights = 0;
  int active = 0;

  t->updated_ms = now;
  for (int i = 0; i < fs_count (t); i++)
    {
      struct fs_account *a = account_at (t, i);

      update_use (t, a, kept);
      if (!is_active (a))
        continue;
      active++;
      used += a->share;
      weights += (double)a->weight;
    }
  for (int i = 0; i < fs_count (t); i++)
    {
      struct fs_account *a = account_at (t, i);

      a->entitled = 0;
      if (is_active (a))
        a->entitled = used
                      * (equal_part / active
                         + (1 - equal_part) * (double)a->weight / weights);
      a->is_over = a->share > least_use
                   && a->share > a->entitled * (a->is_over ? 1 : over_factor);
    }
}

void
fs_aged_started (struct fs_table *t, int account, const struct fs_amount *work,
                 int64_t now)
{
  struct fs_account *a = account_at (t, account);
  double ms = fs_fleet_ms (t, work) * 100 / FS_AGED_PERCENT;

  a->next_aged_ms = MAX (a->next_aged_ms, now) + (int64_t)ms;
}

double
fs_fleet_ms (const struct fs_table *t, const struct fs_amount *work)
{
  double ms = 0;

  for (int k = 0; k < FS_RESOURCES; k++)
    if (t->capacity.of[k] > 0)
      ms = fmax (ms, work->of[k] / t->capacity.of[k]);
  return ms;
}

int
fs_take_change (struct fs_table *t, int account, int64_t now)
{
  struct fs_account *a = account_at (t, account);

  if (a->is_over == a->was_over
      || (a->changed_ms && now - a->changed_ms < FS_CHANGE_INTERVAL_MS))
    return 0;
  a->was_over = a->is_over;
  a->changed_ms = now;
  return 1;
}
