/* Follows a table of the store: one whole reading, then long waits for
   changes.  */
#include <string.h>

#include "batch/batch.h"

enum
{
  READ_TIMEOUT_MS = 1500,
  SLACK_MS = 1500,    /* beyond a long wait: the store may be slow */
  PROBE_MS = 500,     /* of a question to a store that is away */
  RETRY_MIN_MS = 100, /* after a failed question; doubles */
  RETRY_MAX_MS = 800,
  PROBE_GAP_MS = 150
};

void
fo_init (struct batch *b, struct ba_follow *f, const char *table, int wait_ms,
         int gap_ms)
{
  memset (f, 0, sizeof *f);
  f->b = b;
  f->table = table;
  f->wait_ms = wait_ms;
  f->gap_ms = gap_ms;
}

void
fo_start (struct ba_follow *f)
{
  f->on = 1;
  f->whole = 0;
  f->in_flight = 0;
  f->serial++;
  f->generation++;
  f->from[0] = '\0';
  f->read_version = 0;
  f->next_ms = f->b->now;
  f->failures = 0;
}

void
fo_stop (struct ba_follow *f)
{
  f->on = 0;
  f->in_flight = 0;
  f->serial++;
}

static void
retry (struct ba_follow *f)
{
  int64_t wait = RETRY_MIN_MS << (f->failures < 4 ? f->failures : 4);

  f->failures++;
  if (f->b->store_down)
    wait = PROBE_GAP_MS;
  f->next_ms = f->b->now + (wait < RETRY_MAX_MS ? wait : RETRY_MAX_MS);
}

/* Questions to a store that is away are short, so that its return is heard
   at once.  */
static int
ask_changes (struct ba_follow *f, struct ba_ask *ask)
{
  int wait_ms = f->b->store_down ? 0 : f->wait_ms;

  ask->wait_ms = wait_ms;
  return po_follow (&f->b->port, f->table, f->after, wait_ms,
                    f->b->store_down ? PROBE_MS : wait_ms + SLACK_MS,
                    ba_on_rows, ask);
}

void
fo_ask_again (struct ba_follow *f)
{
  if (!f->on)
    return;
  f->serial++;
  f->in_flight = 0;
  f->next_ms = f->b->now;
}

void
fo_tick (struct ba_follow *f)
{
  struct ba_ask *ask;
  int error;

  if (!f->on || f->in_flight || f->b->now < f->next_ms)
    return;
  ask = ba_new_ask (f->b, f->whole ? BA_FOLLOW : BA_READ);
  ask->follow = f;
  ask->serial = f->serial;
  f->in_flight = 1;
  if (f->whole)
    error = ask_changes (f, ask);
  else
    error = po_read (&f->b->port, f->table, f->from, "", READ_TIMEOUT_MS,
                     ba_on_rows, ask);
  if (!error)
    return;
  f->in_flight = 0;
  retry (f);
  g_free (ask);
}

static void
take_rows (struct ba_follow *f, const struct po_rows *rows)
{
  for (int i = 0; i < rows->count; i++)
    f->row (f->b, &rows->row[i], f->generation);
}

static void
take_page (struct ba_follow *f, const struct ba_ask *ask,
           const struct po_rows *rows)
{
  if (!f->read_version)
    f->read_version = rows->version;
  take_rows (f, rows);
  if (ba_next_key (f->from, rows))
    return;
  f->whole = 1;
  f->after = f->read_version;
  f->fresh_ms = ask->sent_ms;
  if (f->read_whole)
    f->read_whole (f->b, f->generation);
  if (f->told)
    f->told (f->b, f->after);
}

/* A wait that ended without rows proves that nothing had changed when it
   ended, WAIT_MS after it was asked for at the earliest.  */
static void
take_changes (struct ba_follow *f, const struct ba_ask *ask,
              const struct po_rows *rows)
{
  int64_t fresh = ask->sent_ms;

  take_rows (f, rows);
  if (!rows->count)
    fresh += ask->wait_ms;
  if (fresh > f->b->now)
    fresh = f->b->now;
  if (fresh > f->fresh_ms)
    f->fresh_ms = fresh;
  if (rows->version > f->after)
    f->after = rows->version;
  f->next_ms = f->b->now + f->gap_ms;
  if (f->told)
    f->told (f->b, f->after);
}

void
fo_answer (struct ba_follow *f, struct ba_ask *ask, struct po_rows *rows)
{
  if (ask->serial != f->serial || !f->on)
    return;
  f->in_flight = 0;
  switch (rows->result)
    {
    case PO_DONE:
      f->failures = 0;
      if (ask->purpose == BA_READ)
        take_page (f, ask, rows);
      else
        take_changes (f, ask, rows);
      break;
    case PO_FORGOTTEN:
      fo_start (f);
      break;
    case PO_CONFLICT:
    case PO_NOT_DONE:
    case PO_UNKNOWN:
      retry (f);
      break;
    }
}
