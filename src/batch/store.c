/* Calls to the store, and the store's availability as seen from their
   replies.  */
#include "batch/batch.h"

enum
{
  STORE_TIMEOUT_MS = 1500, /* after this long without a valid reply the store
                             counts as unavailable; normally one comes every
                             1.05 s plus the store's own delay */
  /* After a shorter silence the store counts as available, but the lease
     holder may not have been able to renew its lease either.  */
  SILENCE_MS = 1200
};

struct ba_store_call *
ba_new_store_call (struct batch *b, enum ba_purpose purpose)
{
  struct ba_store_call *call = g_new0 (struct ba_store_call, 1);

  call->b = b;
  call->purpose = purpose;
  call->sent_ms = b->now_ms;
  call->serial = b->term;
  co_add (b, b->counters.store_calls, 1);
  ba_note_sent (b, call);
  return call;
}

void
ba_on_store_reply (void *arg, struct po_rows *rows)
{
  struct ba_store_call *call = arg;
  struct ba_event *e = g_new (struct ba_event, 1);

  e->kind = BA_STORE_REPLY;
  e->u.reply.call = call;
  e->u.reply.rows = rows;
  ba_push (call->b, e);
}

static void
store_recovered (struct batch *b)
{
  struct lg_field f = lg_int ("down_ms", b->now_ms - b->store_heard_ms);

  b->store_down = 0;
  le_store_recovered (&b->lease, b->now_ms);
  lg_log (LG_TABLE_BACK, 1, &f);
}

/* Marks the store as unavailable.  New requests are then refused before
   anything is sent, so that "not run" is certain.  */
static void
store_lost (struct batch *b)
{
  struct lg_field f[]
      = { lg_str ("reason", b->store_error_status ? "refuses" : "no answer"),
          lg_int ("status", b->store_error_status) };

  b->store_down = 1;
  fo_resend (&b->config_follower);
  fo_resend (&b->job_follower);
  fo_resend (&b->worker_follower);
  lg_log (LG_TABLE_DOWN, 2, f);
}

void
ba_note_store_reply (struct batch *b, const struct po_rows *rows)
{
  int is_valid = rows->result == PO_DONE || rows->result == PO_CONFLICT
                 || rows->result == PO_HISTORY_GONE;

  b->store_error_status = is_valid ? 0 : rows->status;
  if (!is_valid)
    return;
  if (b->store_down)
    store_recovered (b);
  else if (b->now_ms - b->store_heard_ms > SILENCE_MS)
    le_store_recovered (&b->lease, b->now_ms);
  b->store_heard_ms = b->now_ms;
  if (!rows->store_clock_ms)
    return;
  b->store_clock_ms = rows->store_clock_ms;
  b->store_clock_at_ms = b->now_ms;
}

int
ba_next_key (char from[64], const struct po_rows *rows)
{
  if (!rows->has_more || !rows->count)
    return 0;
  /* The least key, in byte order, that is greater and can occur.  */
  g_strlcpy (from, rows->row[rows->count - 1].key, 63);
  g_strlcat (from, "!", 64);
  return 1;
}

void
ba_log_unreadable_row (const char *table, const char *key)
{
  struct lg_field f[] = { lg_str ("table", table), lg_str ("key", key) };

  lg_log (LG_ROW_UNREADABLE, 2, f);
}

void
ba_check_store_timeout (struct batch *b)
{
  if (!b->store_down && b->now_ms - b->store_heard_ms > STORE_TIMEOUT_MS)
    store_lost (b);
}

int64_t
ba_store_clock_now_ms (const struct batch *b)
{
  if (!b->store_clock_ms)
    return 0;
  return b->store_clock_ms + b->now_ms - b->store_clock_at_ms;
}
