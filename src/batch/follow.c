/* Follows a table of the store: one full scan, then long polls for changes. */
#include <string.h>

#include "batch/batch.h"

enum
{
  READ_TIMEOUT_MS = 1500,
  POLL_SLACK_MS = 1500, /* added to a long poll's duration, for a slow store */
  PROBE_TIMEOUT_MS = 500, /* of a request to an unavailable store */
  RETRY_MIN_MS = 100,     /* doubles with each failed request */
  RETRY_MAX_MS = 800,
  PROBE_GAP_MS = 150
};

void
fo_init (struct batch *b, struct ba_table_follower *f, const char *table,
         int wait_ms, int gap_ms)
{
  memset (f, 0, sizeof *f);
  f->b = b;
  f->table = table;
  f->wait_ms = wait_ms;
  f->gap_ms = gap_ms;
}

void
fo_start (struct ba_table_follower *f)
{
  f->enabled = 1;
  f->synced = 0;
  f->in_flight = 0;
  f->serial++;
  f->generation++;
  f->next_key[0] = '\0';
  f->scan_version = 0;
  f->next_ms = f->b->now_ms;
  f->failures = 0;
}

void
fo_stop (struct ba_table_follower *f)
{
  f->enabled = 0;
  f->in_flight = 0;
  f->serial++;
}

static void
schedule_retry (struct ba_table_follower *f)
{
  int64_t delay_ms = RETRY_MIN_MS << (f->failures < 4 ? f->failures : 4);

  f->failures++;
  if (f->b->store_down)
    delay_ms = PROBE_GAP_MS;
  f->next_ms
      = f->b->now_ms + (delay_ms < RETRY_MAX_MS ? delay_ms : RETRY_MAX_MS);
}

/* Polls for changes.  Polls of an unavailable store are short, so that its
   recovery is noticed at once.  */
static int
poll_changes (struct ba_table_follower *f, struct ba_store_call *call)
{
  int wait_ms = f->b->store_down ? 0 : f->wait_ms;

  call->wait_ms = wait_ms;
  return po_follow (&f->b->port, f->table, f->after_version, wait_ms,
                    f->b->store_down ? PROBE_TIMEOUT_MS
                                     : wait_ms + POLL_SLACK_MS,
                    ba_on_store_reply, call);
}

void
fo_resend (struct ba_table_follower *f)
{
  if (!f->enabled)
    return;
  f->serial++;
  f->in_flight = 0;
  f->next_ms = f->b->now_ms;
}

void
fo_tick (struct ba_table_follower *f)
{
  struct ba_store_call *call;
  int error;

  if (!f->enabled || f->in_flight || f->b->now_ms < f->next_ms)
    return;
  call = ba_new_store_call (f->b, f->synced ? BA_POLL : BA_SCAN);
  call->follower = f;
  call->serial = f->serial;
  f->in_flight = 1;
  if (f->synced)
    error = poll_changes (f, call);
  else
    error = po_read (&f->b->port, f->table, f->next_key, "", READ_TIMEOUT_MS,
                     ba_on_store_reply, call);
  if (!error)
    return;
  f->in_flight = 0;
  schedule_retry (f);
  g_free (call);
}

static void
deliver_rows (struct ba_table_follower *f, const struct po_rows *rows)
{
  for (int i = 0; i < rows->count; i++)
    f->on_row (f->b, &rows->row[i], f->generation);
}

static void
handle_page (struct ba_table_follower *f, const struct ba_store_call *call,
             const struct po_rows *rows)
{
  if (!f->scan_version)
    f->scan_version = rows->version;
  deliver_rows (f, rows);
  if (ba_next_key (f->next_key, rows))
    return;
  f->synced = 1;
  f->after_version = f->scan_version;
  f->fresh_ms = call->sent_ms;
  if (f->on_synced)
    f->on_synced (f->b, f->generation);
  if (f->on_progress)
    f->on_progress (f->b, f->after_version);
}

/* Applies the changes that a poll returned.  A poll that returns no rows
   proves that nothing had changed when it ended, which is WAIT_MS after it
   was sent at the earliest.  */
static void
handle_changes (struct ba_table_follower *f, const struct ba_store_call *call,
                const struct po_rows *rows)
{
  int64_t confirmed_ms = call->sent_ms;

  deliver_rows (f, rows);
  if (!rows->count)
    confirmed_ms += call->wait_ms;
  if (confirmed_ms > f->b->now_ms)
    confirmed_ms = f->b->now_ms;
  if (confirmed_ms > f->fresh_ms)
    f->fresh_ms = confirmed_ms;
  if (rows->version > f->after_version)
    f->after_version = rows->version;
  f->next_ms = f->b->now_ms + f->gap_ms;
  if (f->on_progress)
    f->on_progress (f->b, f->after_version);
}

void
fo_on_reply (struct ba_table_follower *f, struct ba_store_call *call,
             struct po_rows *rows)
{
  if (call->serial != f->serial || !f->enabled)
    return;
  f->in_flight = 0;
  switch (rows->result)
    {
    case PO_DONE:
      f->failures = 0;
      if (call->purpose == BA_SCAN)
        handle_page (f, call, rows);
      else
        handle_changes (f, call, rows);
      break;
    case PO_HISTORY_GONE:
      fo_start (f);
      break;
    case PO_CONFLICT:
    case PO_NOT_DONE:
    case PO_REFUSED:
    case PO_UNKNOWN:
      schedule_retry (f);
      break;
    }
}
