/* Questions to the store and what any answer tells about it.  */
#include "batch/batch.h"

enum
{
  SILENT_MS = 1500 /* without any answer the store counts as away; it is
                      heard each 1.05 s and its own delay at least */
};

struct ba_ask *
ba_new_ask (struct batch *b, enum ba_purpose purpose)
{
  struct ba_ask *ask = g_new0 (struct ba_ask, 1);

  ask->b = b;
  ask->purpose = purpose;
  ask->sent_ms = b->now;
  ask->serial = b->turn;
  co_add (b, b->count.calls, 1);
  return ask;
}

void
ba_on_rows (void *arg, struct po_rows *rows)
{
  struct ba_ask *ask = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  e->kind = BA_ROWS;
  e->u.rows.ask = ask;
  e->u.rows.rows = rows;
  ba_push (ask->b, e);
}

static void
store_back (struct batch *b)
{
  struct lg_field f = lg_int ("down_ms", b->now - b->store_ok_ms);

  b->store_down = 0;
  le_heard_again (&b->lease, b->now);
  lg_log (LG_TABLE_BACK, 1, &f);
}

/* Requests that come from now on are refused before anything is sent, so
   that their refusal is true.  */
static void
store_away (struct batch *b)
{
  struct lg_field f[]
      = { lg_str ("reason", b->store_status ? "refuses" : "no answer"),
          lg_int ("status", b->store_status) };

  b->store_down = 1;
  fo_ask_again (&b->config_follow);
  fo_ask_again (&b->job_follow);
  fo_ask_again (&b->worker_follow);
  lg_log (LG_TABLE_DOWN, 2, f);
}

void
ba_heard_store (struct batch *b, const struct po_rows *rows)
{
  int sound = rows->result != PO_NOT_DONE && rows->result != PO_UNKNOWN;

  b->store_status = sound ? 0 : rows->status;
  if (!sound)
    return;
  if (b->store_down)
    store_back (b);
  b->store_ok_ms = b->now;
  if (!rows->store_ms)
    return;
  b->store_clock_ms = rows->store_ms;
  b->store_clock_at_ms = b->now;
}

int
ba_next_key (char from[64], const struct po_rows *rows)
{
  if (!rows->more || !rows->count)
    return 0;
  /* The least key in byte order that is greater and can occur.  */
  g_strlcpy (from, rows->row[rows->count - 1].key, 63);
  g_strlcat (from, "!", 64);
  return 1;
}

void
ba_log_bad_row (const char *table, const char *key)
{
  struct lg_field f[] = { lg_str ("table", table), lg_str ("key", key) };

  lg_log (LG_ROW_UNREADABLE, 2, f);
}

void
ba_watch_store (struct batch *b)
{
  if (!b->store_down && b->now - b->store_ok_ms > SILENT_MS)
    store_away (b);
}

int64_t
ba_store_clock (const struct batch *b)
{
  if (!b->store_clock_ms)
    return 0;
  return b->store_clock_ms + b->now - b->store_clock_at_ms;
}
