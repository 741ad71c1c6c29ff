/* Stores lists as one row for each entry, with a digest in the list's head. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "config/config.h"

static const char *const lists[] = { CF_PLANS, CF_ALLOWANCES, CF_SPLIT };

enum
{
  POSITION_STEP = 1024 /* gap between two positions, for later insertions */
};

static char *
make_key (const char *list, const char *name)
{
  return g_strdup_printf ("%s/%s", list, name ? name : "");
}

static const char *
entry_name (const char *list, const json_t *entry)
{
  return json_string_value (
      json_object_get (entry, strcmp (list, CF_PLANS) ? "plan" : "account"));
}

static int64_t
position_of (const json_t *row)
{
  return json_integer_value (json_object_get (row, "at"));
}

/* Entries keep their positions of BEFORE as far as the order allows, so that
   changing one entry leaves the rows of the others unchanged.  */
static void
add_list (json_t *rows, const char *list, const json_t *value,
          const json_t *before)
{
  const json_t *entries = json_object_get (value, "list");
  size_t n = json_array_size (entries);
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  int64_t *old = g_new0 (int64_t, n + 1), *max_later = g_new0 (int64_t, n + 2);
  int64_t last = 0;

  for (size_t i = 0; i < n; i++)
    {
      char *key
          = make_key (list, entry_name (list, json_array_get (entries, i)));

      g_ptr_array_add (keys, key);
      old[i] = position_of (json_object_get (before, key));
    }
  for (size_t i = n; i-- > 0;)
    max_later[i] = MAX (old[i], max_later[i + 1]);
  for (size_t i = 0; i < n; i++)
    {
      if (old[i] > last)
        last = old[i];
      else
        last += max_later[i + 1] > last + 1 ? 1 : POSITION_STEP;
      json_object_set_new (rows, g_ptr_array_index (keys, i),
                           json_pack ("{s:I,s:O}", "at", (json_int_t)last,
                                      "entry", json_array_get (entries, i)));
    }
  g_ptr_array_free (keys, TRUE);
  g_free (max_later);
  g_free (old);
}

json_t *
cf_encode_rows (const json_t *plans, const json_t *allowances,
                const json_t *split, const json_t *before)
{
  json_t *rows = json_object (), *cells;
  const char *account;

  add_list (rows, CF_PLANS, plans, before);
  add_list (rows, CF_ALLOWANCES, allowances, before);
  json_object_foreach (json_object_get (split, "split"), account, cells)
  {
    char *key = make_key (CF_SPLIT, account);

    json_object_set (rows, key, cells);
    g_free (key);
  }
  return rows;
}

/* Returns the NAME part of KEY ("LIST/NAME") if KEY belongs to LIST, or
   NULL.  */
static const char *
name_in_key (const char *key, const char *list)
{
  size_t n = strlen (list);

  return !strncmp (key, list, n) && key[n] == '/' ? key + n + 1 : NULL;
}

/* Sums the hashes of the rows, so that the digest does not depend on their
   order.  */
static int64_t
compute_digest (const char *list, const json_t *rows)
{
  uint64_t sum = 0;
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)rows, key, value)
  {
    char *text;

    if (!name_in_key (key, list))
      continue;
    text = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);
    sum += XXH3_64bits_withSeed (text, strlen (text),
                                 XXH3_64bits (key, strlen (key)));
    free (text);
  }
  return (int64_t)sum;
}

static int
compare_positions (const void *a, const void *b, void *arg)
{
  const char *x = *(const char *const *)a, *y = *(const char *const *)b;
  int64_t m = position_of (json_object_get (arg, x));
  int64_t n = position_of (json_object_get (arg, y));

  return m != n ? (m > n) - (m < n) : strcmp (x, y);
}

static GPtrArray *
sorted_keys (const char *list, json_t *rows)
{
  GPtrArray *keys = g_ptr_array_new ();
  const char *key;
  json_t *row;

  json_object_foreach (rows, key, row)
  {
    if (name_in_key (key, list))
      g_ptr_array_add (keys, (gpointer)key);
  }
  g_ptr_array_sort_with_data (keys, compare_positions, rows);
  return keys;
}

json_t *
cf_decode_list (const char *list, const json_t *head, json_t *rows)
{
  GPtrArray *keys = sorted_keys (list, rows);
  int is_split = !strcmp (list, CF_SPLIT);
  json_t *value = json_copy ((json_t *)head);
  json_t *entries = is_split ? json_object () : json_array ();

  for (guint i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      json_t *row = json_object_get (rows, key);

      if (is_split)
        json_object_set (entries, name_in_key (key, list), row);
      else
        json_array_append (entries, json_object_get (row, "entry"));
    }
  g_ptr_array_free (keys, TRUE);
  json_object_del (value, "digest");
  json_object_set_new (value, is_split ? "split" : "list", entries);
  return value;
}

json_t *
cf_encode_head (const char *list, const json_t *value, const json_t *rows)
{
  json_t *head = json_copy ((json_t *)value);

  json_object_del (head, "list");
  json_object_del (head, "split");
  json_object_set_new (head, "digest",
                       json_integer ((json_int_t)compute_digest (list, rows)));
  return head;
}

int
cf_digests_match (const json_t *heads, const json_t *rows)
{
  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      const json_t *head = json_object_get (cf_row (heads, lists[i]), "value");

      if (head
          && (!json_is_integer (json_object_get (head, "digest"))
              || json_integer_value (json_object_get (head, "digest"))
                     != compute_digest (lists[i], rows)))
        return 0;
    }
  return 1;
}

int
cf_has_inline_lists (const json_t *heads)
{
  for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      const json_t *head = json_object_get (cf_row (heads, lists[i]), "value");

      if (json_object_get (head, "list") || json_object_get (head, "split"))
        return 1;
    }
  return 0;
}
