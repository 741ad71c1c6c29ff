#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "control/grant.h"

/* The newest grant, and the largest one before it that is not over yet: the
   entry VM may not have heard of the newest.  */
struct grant
{
  char entry[CT_NAME];
  struct gr_amount now, before;
  int64_t now_until_ms, before_until_ms;
};

static void
free_grants (void *array)
{
  g_array_free (array, TRUE);
}

void
gr_init (struct gr_book *book)
{
  book->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_grants);
}

void
gr_fini (struct gr_book *book)
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
larger (struct gr_amount a, struct gr_amount b)
{
  return (struct gr_amount){ max32 (a.slots, b.slots),
                             max32 (a.connections, b.connections) };
}

static struct gr_amount
in_use (const struct grant *g, int64_t now_ms)
{
  struct gr_amount sum = { 0, 0 };

  if (now_ms < g->now_until_ms)
    sum = g->now;
  if (now_ms < g->before_until_ms)
    sum = larger (sum, g->before);
  return sum;
}

static GArray *
grants_of (struct gr_book *book, const char *worker)
{
  GArray *grants = g_hash_table_lookup (book->workers, worker);

  if (!grants)
    {
      grants = g_array_new (FALSE, TRUE, sizeof (struct grant));
      g_hash_table_insert (book->workers, g_strdup (worker), grants);
    }
  return grants;
}

static struct grant *
find (GArray *grants, const char *entry)
{
  struct grant fresh = { .now_until_ms = 0 };

  for (guint i = 0; i < grants->len; i++)
    if (!strcmp (g_array_index (grants, struct grant, i).entry, entry))
      return &g_array_index (grants, struct grant, i);
  snprintf (fresh.entry, CT_NAME, "%s", entry);
  g_array_append_val (grants, fresh);
  return &g_array_index (grants, struct grant, grants->len - 1);
}

static struct gr_amount
sum (GArray *grants, const char *but, int64_t now_ms)
{
  struct gr_amount total = { 0, 0 };

  for (guint i = 0; i < grants->len; i++)
    {
      const struct grant *g = &g_array_index (grants, struct grant, i);
      struct gr_amount one = in_use (g, now_ms);

      if (but && !strcmp (g->entry, but))
        continue;
      total.slots += one.slots;
      total.connections += one.connections;
    }
  return total;
}

/* The rest of an uneven division goes to other VMs at each worker.  */
static int32_t
share (int32_t whole, const char *worker, int index, int entries)
{
  int turn = (int)(XXH32 (worker, strlen (worker), 0) % (uint32_t)entries);

  return whole / entries + ((index + turn) % entries < whole % entries);
}

static void
forget_ended (GArray *grants, int64_t now_ms)
{
  for (guint i = grants->len; i > 0; i--)
    {
      struct grant *g = &g_array_index (grants, struct grant, i - 1);

      if (now_ms >= g->now_until_ms && now_ms >= g->before_until_ms)
        g_array_remove_index_fast (grants, i - 1);
    }
}

struct gr_amount
gr_grant (struct gr_book *book, const char *worker, struct gr_amount whole,
          const char *entry, int index, int entries, int64_t now_ms,
          int64_t until_ms)
{
  GArray *grants = grants_of (book, worker);
  struct gr_amount others, give;
  struct grant *g;

  forget_ended (grants, now_ms);
  g = find (grants, entry);
  others = sum (grants, entry, now_ms);
  give.slots = min32 (share (whole.slots, worker, index, entries),
                      whole.slots - others.slots);
  give.connections = min32 (share (whole.connections, worker, index, entries),
                            whole.connections - others.connections);
  give = larger (give, (struct gr_amount){ 0, 0 });
  g->before = in_use (g, now_ms);
  g->before_until_ms = g->now_until_ms > g->before_until_ms
                           ? g->now_until_ms
                           : g->before_until_ms;
  g->now = give;
  g->now_until_ms = until_ms;
  return give;
}

struct gr_amount
gr_in_use (struct gr_book *book, const char *worker, int64_t now_ms)
{
  return sum (grants_of (book, worker), NULL, now_ms);
}
