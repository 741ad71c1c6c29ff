#include "batch/withdrawal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  ID_LENGTH = SJ_ID_SIZE - 1,
  ACCOUNT_LENGTH = 16 /* of the account's part of a key */
};

/* The account's name is of any length.  Requests without a key differ from
   those of an account without a name.  */
static void
hash_account (char out[ACCOUNT_LENGTH + 1], const char *account)
{
  uint64_t hash = XXH3_64bits_withSeed (
      account ? account : "", account ? strlen (account) : 0, account != NULL);

  snprintf (out, ACCOUNT_LENGTH + 1, "%016" PRIx64, hash);
}

void
wd_init (struct wd_table *t)
{
  t->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  t->counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
wd_fini (struct wd_table *t)
{
  g_hash_table_destroy (t->rows);
  g_hash_table_destroy (t->counts);
}

void
wd_make_key (char out[WD_KEY_SIZE], const char *id, const char *account)
{
  char hash[ACCOUNT_LENGTH + 1];

  hash_account (hash, account);
  snprintf (out, WD_KEY_SIZE, "%.*s.w%s", ID_LENGTH, id, hash);
}

int
wd_is_key (const char *key)
{
  return strlen (key) == ID_LENGTH + 2 + ACCOUNT_LENGTH
         && key[ID_LENGTH] == '.' && key[ID_LENGTH + 1] == 'w';
}

char *
wd_value (const char *account, int64_t at_ms)
{
  char by[ACCOUNT_LENGTH + 1];
  json_t *o;
  char *text;

  hash_account (by, account);
  o = json_pack ("{s:I,s:s}", "at", (json_int_t)at_ms, "by", by);
  text = json_dumps (o, JSON_COMPACT);
  json_decref (o);
  return text;
}

/* Whether the row counts for the limit of the account that asked for it.  A
   caller with a key may cause a second row, for requests without one.  */
static int
is_counted (const struct wd_row *r)
{
  return !strcmp (r->by, r->key + ID_LENGTH + 2);
}

static int
count_of (const struct wd_table *t, const char *by)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (t->counts, by));
}

static void
add_to_count (struct wd_table *t, const struct wd_row *r, int n)
{
  int count = count_of (t, r->by) + n;

  if (!is_counted (r))
    return;
  if (count > 0)
    g_hash_table_replace (t->counts, g_strdup (r->by),
                          GINT_TO_POINTER (count));
  else
    g_hash_table_remove (t->counts, r->by);
}

static void
remove_row (struct wd_table *t, const char *key)
{
  const struct wd_row *r = g_hash_table_lookup (t->rows, key);

  if (!r)
    return;
  add_to_count (t, r, -1);
  g_hash_table_remove (t->rows, r->key);
}

void
wd_apply_row (struct wd_table *t, const char *key, const char *value,
              int64_t version, int deleted, int generation)
{
  const struct wd_row *known = g_hash_table_lookup (t->rows, key);
  struct wd_row *r;
  json_t *o;

  /* A read that began earlier may return an older state of the row.  */
  if (known && version < known->version)
    return;
  remove_row (t, key);
  if (deleted)
    return;
  o = json_loads (value, 0, NULL);
  r = g_new0 (struct wd_row, 1);
  g_strlcpy (r->key, key, sizeof r->key);
  r->at_ms = json_integer_value (json_object_get (o, "at"));
  if (json_string_value (json_object_get (o, "by")))
    g_strlcpy (r->by, json_string_value (json_object_get (o, "by")),
               sizeof r->by);
  r->version = version;
  r->generation = generation;
  json_decref (o);
  g_hash_table_insert (t->rows, r->key, r);
  add_to_count (t, r, 1);
}

void
wd_remove_unseen (struct wd_table *t, int generation)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, t->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct wd_row *r = value;

      if (r->generation == generation)
        continue;
      add_to_count (t, r, -1);
      g_hash_table_iter_remove (&iter);
    }
}

const struct wd_row *
wd_find (const struct wd_table *t, const char *id, const char *account)
{
  char key[WD_KEY_SIZE];

  wd_make_key (key, id, account);
  return g_hash_table_lookup (t->rows, key);
}

int
wd_is_withdrawn (const struct wd_table *t, const char *id, const char *account,
                 int64_t now, int64_t max_age_ms)
{
  const struct wd_row *r = wd_find (t, id, account);

  return r && now - r->at_ms <= max_age_ms;
}

int
wd_is_full (const struct wd_table *t, const char *account)
{
  char by[ACCOUNT_LENGTH + 1];

  hash_account (by, account);
  return count_of (t, by) >= WD_MAX_ROWS;
}

int
wd_expired (const struct wd_table *t, int64_t now, struct wd_row *out, int max)
{
  GHashTableIter iter;
  gpointer value;
  int n = 0;

  g_hash_table_iter_init (&iter, t->rows);
  while (n < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct wd_row *r = value;

      if (now && r->version && llabs (now - r->at_ms) > WD_KEEP_MS)
        out[n++] = *r;
    }
  return n;
}
