/* Reading the lists: the heads each time, which are small, and rows only when
   a head is newer, then those that have changed since the last reading.  */
#include <glib.h>
#include <string.h>

#include "config/config.h"

void
cf_reader_init (struct cf_reader *r, int is_fetch)
{
  *r = (struct cf_reader){ .is_fetch = is_fetch };
}

void
cf_reader_fini (struct cf_reader *r)
{
  json_decref (r->heads);
  json_decref (r->rows);
  r->heads = r->rows = NULL;
}

int
cf_read_begin (struct cf_reader *r, struct tb_scan *next)
{
  if (r->busy)
    {
      r->again = 1;
      return 0;
    }
  cf_reader_fini (r);
  r->busy = 1;
  r->again = 0;
  *next = (struct tb_scan){ .table = CF_TABLE };
  return 1;
}

static enum cf_end
ended (struct cf_reader *r, enum cf_end end)
{
  r->busy = 0;
  return end;
}

/* ROWS, which is taken over, are what is known: NULL for nothing.  */
static enum cf_end
scan_rows (struct cf_reader *r, json_t *rows, struct tb_scan *next)
{
  json_decref (r->rows);
  r->whole = !rows || !r->rev;
  r->rows = r->whole ? json_object () : json_copy (rows);
  json_decref (rows);
  *r->after = '\0';
  *next = (struct tb_scan){ .table = CF_ROWS, .since = r->whole ? 0 : r->rev };
  return CF_END_MORE;
}

static int64_t
head_version (const struct cf_reader *r, const char *list)
{
  return cf_value_version (json_object_get (cf_row (r->heads, list), "value"));
}

/* Written by an older release: rows that stand besides do not count.  */
static enum cf_end
on_whole_heads (struct cf_reader *r, struct cf_store *store,
                struct tb_scan *next)
{
  if (r->is_fetch || head_version (r, CF_SPLIT) < cf_version (store, CF_SPLIT))
    return scan_rows (r, NULL, next);
  return ended (r, cf_apply (store, r->heads) ? CF_END_SAME : CF_END_NEW);
}

static enum cf_end
on_heads (struct cf_reader *r, struct cf_store *store, struct tb_scan *next)
{
  int64_t table = head_version (r, CF_SPLIT);
  int64_t held = cf_version (store, CF_SPLIT);
  json_t *rows;

  if (cf_is_whole (r->heads))
    return on_whole_heads (r, store, next);
  if (table == held && !r->is_fetch)
    return ended (r, CF_END_SAME);
  rows = cf_rows (store);
  if (table > held && !r->is_fetch)
    return scan_rows (r, rows, next);
  if (table == held && rows && cf_rows_match (r->heads, rows))
    {
      r->rows = rows;
      return ended (r, CF_END_READ);
    }
  json_decref (rows);
  return scan_rows (r, NULL, next);
}

/* Returns 1 when another page follows.  */
static int
add_page (struct cf_reader *r, const json_t *data, struct tb_scan *next)
{
  const char *key = NULL;
  json_t *row;
  size_t i;

  if (!*r->after)
    r->reading_rev = json_integer_value (json_object_get (data, "rev"));
  json_array_foreach (json_object_get (data, "rows"), i, row)
  {
    key = json_string_value (json_object_get (row, "key"));
    if (!key)
      continue;
    if (json_is_true (json_object_get (row, "deleted")))
      json_object_del (r->rows, key);
    else
      json_object_set (r->rows, key, json_object_get (row, "value"));
  }
  if (!json_is_true (json_object_get (data, "more")) || !key
      || strlen (key) >= sizeof r->after)
    return 0;
  g_strlcpy (r->after, key, sizeof r->after);
  *next = (struct tb_scan){ .table = CF_ROWS,
                            .after = r->after,
                            .since = r->whole ? 0 : r->rev };
  return 1;
}

static enum cf_end
take (struct cf_reader *r, struct cf_store *store)
{
  json_t *plans = cf_read_list (r, CF_PLANS);
  json_t *allowances = cf_read_list (r, CF_ALLOWANCES);
  json_t *split = cf_read_list (r, CF_SPLIT);
  int error = cf_take (store, plans, allowances, split, r->rows);

  json_decref (plans);
  json_decref (allowances);
  json_decref (split);
  if (error)
    return ended (r, CF_END_SAME);
  r->rev = r->reading_rev;
  return ended (r, CF_END_NEW);
}

enum cf_end
cf_read_answer (struct cf_reader *r, struct cf_store *store, int error,
                const json_t *data, struct tb_scan *next)
{
  if (error || !json_is_array (json_object_get (data, "rows")))
    return ended (r, CF_END_FAILED);
  if (!r->heads)
    {
      r->heads = json_incref (json_object_get (data, "rows"));
      return on_heads (r, store, next);
    }
  if (add_page (r, data, next))
    return CF_END_MORE;
  if (!cf_is_whole (r->heads) && !cf_rows_match (r->heads, r->rows))
    /* Rows were written since, or the table was set back.  */
    return r->whole ? ended (r, CF_END_FAILED) : scan_rows (r, NULL, next);
  if (r->is_fetch)
    return ended (r, CF_END_READ);
  if (head_version (r, CF_SPLIT) < cf_version (store, CF_SPLIT))
    return ended (r, CF_END_OLDER);
  return take (r, store);
}

json_t *
cf_read_list (const struct cf_reader *r, const char *list)
{
  const json_t *head = json_object_get (cf_row (r->heads, list), "value");

  if (json_object_get (head, "list") || json_object_get (head, "split"))
    return json_incref ((json_t *)head);
  return head ? cf_value_of (list, head, r->rows) : NULL;
}
