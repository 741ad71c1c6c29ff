/* Reads the lists from the table.  Each read fetches the heads, which are
   small; rows are fetched only when a head is newer, and then only those that
   have changed since the last read.  */
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
  if (r->in_progress)
    {
      r->repeat = 1;
      return 0;
    }
  cf_reader_fini (r);
  r->in_progress = 1;
  r->repeat = 0;
  *next = (struct tb_scan){ .table = CF_TABLE };
  return 1;
}

static enum cf_read_state
finish_read (struct cf_reader *r, enum cf_read_state end)
{
  r->in_progress = 0;
  return end;
}

/* Starts a scan for changes since the known ROWS, or a full scan when ROWS is
   NULL.  Takes ownership of ROWS.  */
static enum cf_read_state
scan_rows (struct cf_reader *r, json_t *rows, struct tb_scan *next)
{
  json_decref (r->rows);
  r->is_full_scan = !rows || !r->applied_rev;
  r->rows = r->is_full_scan ? json_object () : json_copy (rows);
  json_decref (rows);
  *r->after = '\0';
  *next = (struct tb_scan){ .table = CF_ROWS_TABLE,
                            .since = r->is_full_scan ? 0 : r->applied_rev };
  return CF_READ_MORE;
}

static int64_t
head_version (const struct cf_reader *r, const char *list)
{
  return cf_value_version (json_object_get (cf_row (r->heads, list), "value"));
}

/* Handles heads that contain the lists, as older releases wrote them.  Rows
   in CF_ROWS_TABLE are ignored then.  */
static enum cf_read_state
on_inline_heads (struct cf_reader *r, struct cf_store *store,
                 struct tb_scan *next)
{
  if (r->is_fetch || head_version (r, CF_SPLIT) < cf_version (store, CF_SPLIT))
    return scan_rows (r, NULL, next);
  return finish_read (r, cf_apply (store, r->heads) ? CF_READ_UNCHANGED
                                                    : CF_READ_APPLIED);
}

static enum cf_read_state
on_heads (struct cf_reader *r, struct cf_store *store, struct tb_scan *next)
{
  int64_t table = head_version (r, CF_SPLIT);
  int64_t held = cf_version (store, CF_SPLIT);
  json_t *rows;

  if (cf_has_inline_lists (r->heads))
    return on_inline_heads (r, store, next);
  if (table == held && !r->is_fetch)
    return finish_read (r, CF_READ_UNCHANGED);
  rows = cf_rows (store);
  if (table > held && !r->is_fetch)
    return scan_rows (r, rows, next);
  if (table == held && rows && cf_digests_match (r->heads, rows))
    {
      r->rows = rows;
      return finish_read (r, CF_READ_FETCHED);
    }
  json_decref (rows);
  return scan_rows (r, NULL, next);
}

/* Merges a page of rows; returns 1 and fills NEXT when another page
   follows.  */
static int
add_page (struct cf_reader *r, const json_t *data, struct tb_scan *next)
{
  const char *key = NULL;
  json_t *row;
  size_t i;

  if (!*r->after)
    r->first_page_rev = json_integer_value (json_object_get (data, "rev"));
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
  *next = (struct tb_scan){ .table = CF_ROWS_TABLE,
                            .after = r->after,
                            .since = r->is_full_scan ? 0 : r->applied_rev };
  return 1;
}

static enum cf_read_state
apply_lists (struct cf_reader *r, struct cf_store *store)
{
  json_t *plans = cf_read_list (r, CF_PLANS);
  json_t *allowances = cf_read_list (r, CF_ALLOWANCES);
  json_t *split = cf_read_list (r, CF_SPLIT);
  int error = cf_replace_lists (store, plans, allowances, split, r->rows);

  json_decref (plans);
  json_decref (allowances);
  json_decref (split);
  if (error)
    return finish_read (r, CF_READ_UNCHANGED);
  r->applied_rev = r->first_page_rev;
  return finish_read (r, CF_READ_APPLIED);
}

enum cf_read_state
cf_read_answer (struct cf_reader *r, struct cf_store *store, int error,
                const json_t *data, struct tb_scan *next)
{
  if (error || !json_is_array (json_object_get (data, "rows")))
    return finish_read (r, CF_READ_FAILED);
  if (!r->heads)
    {
      r->heads = json_incref (json_object_get (data, "rows"));
      return on_heads (r, store, next);
    }
  if (add_page (r, data, next))
    return CF_READ_MORE;
  if (!cf_has_inline_lists (r->heads) && !cf_digests_match (r->heads, r->rows))
    /* Rows were written during the read, or the table was restored.  */
    return r->is_full_scan ? finish_read (r, CF_READ_FAILED)
                           : scan_rows (r, NULL, next);
  if (r->is_fetch)
    return finish_read (r, CF_READ_FETCHED);
  if (head_version (r, CF_SPLIT) < cf_version (store, CF_SPLIT))
    return finish_read (r, CF_READ_TABLE_OUTDATED);
  return apply_lists (r, store);
}

json_t *
cf_read_list (const struct cf_reader *r, const char *list)
{
  const json_t *head = json_object_get (cf_row (r->heads, list), "value");

  if (json_object_get (head, "list") || json_object_get (head, "split"))
    return json_incref ((json_t *)head);
  return head ? cf_decode_list (list, head, r->rows) : NULL;
}
