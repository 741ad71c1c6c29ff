#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "control/grant.h"

enum
{
  MAX_GRANTS = 8 /* of one entry VM that are not over */
};

struct grant
{
  struct gr_amount amount;
  int64_t until_ms;
};

/* What one entry VM was granted, the oldest first: it may not have heard of
   the newest yet.  */
struct holder
{
  char entry[CT_NAME];
  int count;
  struct grant grant[MAX_GRANTS];
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

static void
forget_ended (struct holder *h, int64_t now_ms)
{
  int kept = 0;

  for (int i = 0; i < h->count; i++)
    if (now_ms < h->grant[i].until_ms)
      h->grant[kept++] = h->grant[i];
  h->count = kept;
}

static struct gr_amount
in_use (const struct holder *h, int64_t now_ms)
{
  struct gr_amount most = { 0, 0 };

  for (int i = 0; i < h->count; i++)
    if (now_ms < h->grant[i].until_ms)
      most = larger (most, h->grant[i].amount);
  return most;
}

/* The same amount again only lasts longer; when the list is full, the two
   oldest count as one.  */
static void
add_grant (struct holder *h, struct gr_amount amount, int64_t until_ms)
{
  struct grant *last = h->count ? &h->grant[h->count - 1] : NULL;

  if (last && last->amount.slots == amount.slots
      && last->amount.connections == amount.connections)
    {
      last->until_ms = until_ms;
      return;
    }
  if (h->count == MAX_GRANTS)
    {
      h->grant[1].amount = larger (h->grant[0].amount, h->grant[1].amount);
      memmove (&h->grant[0], &h->grant[1],
               (MAX_GRANTS - 1) * sizeof h->grant[0]);
      h->count--;
    }
  h->grant[h->count++] = (struct grant){ amount, until_ms };
}

static GArray *
grants_of (struct gr_book *book, const char *worker)
{
  GArray *grants = g_hash_table_lookup (book->workers, worker);

  if (!grants)
    {
      grants = g_array_new (FALSE, TRUE, sizeof (struct holder));
      g_hash_table_insert (book->workers, g_strdup (worker), grants);
    }
  return grants;
}

static struct holder *
find (GArray *grants, const char *entry)
{
  struct holder fresh = { .count = 0 };

  for (guint i = 0; i < grants->len; i++)
    if (!strcmp (g_array_index (grants, struct holder, i).entry, entry))
      return &g_array_index (grants, struct holder, i);
  snprintf (fresh.entry, CT_NAME, "%s", entry);
  g_array_append_val (grants, fresh);
  return &g_array_index (grants, struct holder, grants->len - 1);
}

static struct gr_amount
sum (GArray *grants, const char *but, int64_t now_ms)
{
  struct gr_amount total = { 0, 0 };

  for (guint i = 0; i < grants->len; i++)
    {
      const struct holder *h = &g_array_index (grants, struct holder, i);
      struct gr_amount one = in_use (h, now_ms);

      if (but && !strcmp (h->entry, but))
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
forget_holders (GArray *grants, int64_t now_ms)
{
  for (guint i = grants->len; i > 0; i--)
    {
      struct holder *h = &g_array_index (grants, struct holder, i - 1);

      forget_ended (h, now_ms);
      if (!h->count)
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

  forget_holders (grants, now_ms);
  others = sum (grants, entry, now_ms);
  give.slots = min32 (share (whole.slots, worker, index, entries),
                      whole.slots - others.slots);
  give.connections = min32 (share (whole.connections, worker, index, entries),
                            whole.connections - others.connections);
  give = larger (give, (struct gr_amount){ 0, 0 });
  add_grant (find (grants, entry), give, until_ms);
  return give;
}

struct gr_amount
gr_in_use (struct gr_book *book, const char *worker, int64_t now_ms)
{
  return sum (grants_of (book, worker), NULL, now_ms);
}
