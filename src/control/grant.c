#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "control/grant.h"

enum
{
  MAX_ENTRY_GRANTS = 8 /* unexpired grants of one entry VM */
};

struct grant
{
  struct gr_amount amount;
  int64_t until_ms;
};

/* Grants of one entry VM, the oldest first.  All unexpired ones count, because
   the entry VM may not have received the newest yet.  */
struct entry_grants
{
  char entry[CT_NAME];
  int count;
  struct grant grant[MAX_ENTRY_GRANTS];
};

static void
free_grants (void *array)
{
  g_array_free (array, TRUE);
}

void
gr_init (struct gr_grants *book)
{
  book->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_grants);
}

void
gr_fini (struct gr_grants *book)
{
  g_hash_table_destroy (book->workers);
}

static int32_t
max32 (int32_t a, int32_t b)
{
  return a > b ? a : b;
}

static int32_t
min32 (int32_t a, int32_t b)
{
  return a < b ? a : b;
}

static struct gr_amount
component_max (struct gr_amount a, struct gr_amount b)
{
  return (struct gr_amount){ max32 (a.slots, b.slots),
                             max32 (a.connections, b.connections) };
}

static void
drop_expired_grants (struct entry_grants *h, int64_t now_ms)
{
  int kept = 0;

  for (int i = 0; i < h->count; i++)
    if (now_ms < h->grant[i].until_ms)
      h->grant[kept++] = h->grant[i];
  h->count = kept;
}

static struct gr_amount
entry_in_use (const struct entry_grants *h, int64_t now_ms)
{
  struct gr_amount most = { 0, 0 };

  for (int i = 0; i < h->count; i++)
    if (now_ms < h->grant[i].until_ms)
      most = component_max (most, h->grant[i].amount);
  return most;
}

/* Extends the last grant if the amount is the same.  When the list is full,
   the two oldest grants are merged into one of the larger amount.  */
static void
add_grant (struct entry_grants *h, struct gr_amount amount, int64_t until_ms)
{
  struct grant *last = h->count ? &h->grant[h->count - 1] : NULL;

  if (last && last->amount.slots == amount.slots
      && last->amount.connections == amount.connections)
    {
      last->until_ms = until_ms;
      return;
    }
  if (h->count == MAX_ENTRY_GRANTS)
    {
      h->grant[1].amount
          = component_max (h->grant[0].amount, h->grant[1].amount);
      memmove (&h->grant[0], &h->grant[1],
               (MAX_ENTRY_GRANTS - 1) * sizeof h->grant[0]);
      h->count--;
    }
  h->grant[h->count++] = (struct grant){ amount, until_ms };
}

static GArray *
worker_grants (struct gr_grants *book, const char *worker)
{
  GArray *grants = g_hash_table_lookup (book->workers, worker);

  if (!grants)
    {
      grants = g_array_new (FALSE, TRUE, sizeof (struct entry_grants));
      g_hash_table_insert (book->workers, g_strdup (worker), grants);
    }
  return grants;
}

static struct entry_grants *
find_entry (GArray *grants, const char *entry)
{
  struct entry_grants fresh = { .count = 0 };

  for (guint i = 0; i < grants->len; i++)
    if (!strcmp (g_array_index (grants, struct entry_grants, i).entry, entry))
      return &g_array_index (grants, struct entry_grants, i);
  snprintf (fresh.entry, CT_NAME, "%s", entry);
  g_array_append_val (grants, fresh);
  return &g_array_index (grants, struct entry_grants, grants->len - 1);
}

static struct gr_amount
sum_in_use (GArray *grants, const char *except, int64_t now_ms)
{
  struct gr_amount total = { 0, 0 };

  for (guint i = 0; i < grants->len; i++)
    {
      const struct entry_grants *h
          = &g_array_index (grants, struct entry_grants, i);
      struct gr_amount one = entry_in_use (h, now_ms);

      if (except && !strcmp (h->entry, except))
        continue;
      total.slots += one.slots;
      total.connections += one.connections;
    }
  return total;
}

/* Returns the share of entry VM INDEX.  The remainder of the division is
   assigned to different entry VMs for each worker.  */
static int32_t
share (int32_t whole, const char *worker, int index, int entries)
{
  int turn = (int)(XXH32 (worker, strlen (worker), 0) % (uint32_t)entries);

  return whole / entries + ((index + turn) % entries < whole % entries);
}

static void
drop_expired_entries (GArray *grants, int64_t now_ms)
{
  for (guint i = grants->len; i > 0; i--)
    {
      struct entry_grants *h
          = &g_array_index (grants, struct entry_grants, i - 1);

      drop_expired_grants (h, now_ms);
      if (!h->count)
        g_array_remove_index_fast (grants, i - 1);
    }
}

struct gr_amount
gr_grant (struct gr_grants *book, const char *worker, struct gr_amount whole,
          const char *entry, int index, int entries, int64_t now_ms,
          int64_t until_ms)
{
  GArray *grants = worker_grants (book, worker);
  struct gr_amount others, granted;

  drop_expired_entries (grants, now_ms);
  others = sum_in_use (grants, entry, now_ms);
  granted.slots = min32 (share (whole.slots, worker, index, entries),
                         whole.slots - others.slots);
  granted.connections
      = min32 (share (whole.connections, worker, index, entries),
               whole.connections - others.connections);
  granted = component_max (granted, (struct gr_amount){ 0, 0 });
  add_grant (find_entry (grants, entry), granted, until_ms);
  return granted;
}

struct gr_amount
gr_in_use (struct gr_grants *book, const char *worker, int64_t now_ms)
{
  return sum_in_use (worker_grants (book, worker), NULL, now_ms);
}
