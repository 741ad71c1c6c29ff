#include <string.h>

#include "batch/fake_store.h"

struct fs_store fs_store;

void
fs_reset (void)
{
  g_free (fs_store.last_call);
  if (fs_store.entries)
    g_ptr_array_free (fs_store.entries, TRUE);
  fs_store = (struct fs_store){ 0 };
}

struct ba_store_call *
fs_take_call (void)
{
  struct ba_store_call *call = fs_store.last_call;

  fs_store.last_call = NULL;
  return call;
}

static void
free_entry (void *entry)
{
  struct fs_entry *e = entry;

  g_free (e->table);
  g_free (e->key);
  g_free (e->value);
  g_free (e);
}

static void
keep_entries (const struct po_entry *entry, int count)
{
  if (!fs_store.entries)
    fs_store.entries = g_ptr_array_new_with_free_func (free_entry);
  g_ptr_array_set_size (fs_store.entries, 0);
  for (int i = 0; i < count; i++)
    {
      struct fs_entry *e = g_new (struct fs_entry, 1);

      *e = (struct fs_entry){ entry[i].kind, g_strdup (entry[i].table),
                              g_strdup (entry[i].key),
                              g_strdup (entry[i].value) };
      g_ptr_array_add (fs_store.entries, e);
    }
}

const struct fs_entry *
fs_find_put (const char *table, const char *key)
{
  for (guint i = 0; fs_store.entries && i < fs_store.entries->len; i++)
    {
      const struct fs_entry *e = g_ptr_array_index (fs_store.entries, i);

      if (e->kind == PO_PUT && !strcmp (e->table, table)
          && !strcmp (e->key, key))
        return e;
    }
  return NULL;
}

int
po_write (struct po_port *port, const struct po_entry *entry, int count,
          int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)timeout_ms;
  (void)done;
  keep_entries (entry, count);
  fs_store.writes++;
  fs_store.expected_version = entry[0].version;
  fs_store.last_call = arg;
  return 0;
}

int
po_read (struct po_port *port, const char *table, const char *from,
         const char *to, int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)table;
  (void)from;
  (void)to;
  (void)timeout_ms;
  (void)done;
  fs_store.reads++;
  fs_store.last_call = arg;
  return 0;
}

int
po_follow (struct po_port *port, const char *table, int64_t after, int wait_ms,
           int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)table;
  (void)after;
  (void)wait_ms;
  (void)timeout_ms;
  (void)done;
  fs_store.follows++;
  fs_store.last_call = arg;
  return 0;
}

void
po_rows_free (struct po_rows *rows)
{
  (void)rows;
}
