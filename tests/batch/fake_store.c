#include "batch/fake_store.h"

struct fs_store fs_store;

void
fs_reset (void)
{
  g_free (fs_store.last_call);
  fs_store = (struct fs_store){ 0 };
}

struct ba_store_call *
fs_take_call (void)
{
  struct ba_store_call *call = fs_store.last_call;

  fs_store.last_call = NULL;
  return call;
}

int
po_write (struct po_port *port, const struct po_entry *entry, int count,
          int timeout_ms, po_rows_done *done, void *arg)
{
  (void)port;
  (void)count;
  (void)timeout_ms;
  (void)done;
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
