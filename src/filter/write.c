#include "filter/write.h"

enum fl_write_do
fl_write_start (struct fl_write *w, int64_t until_ms, int patient)
{
  *w = (struct fl_write){ .state = FL_WRITE_COMMIT,
                          .retry_while_down = patient,
                          .retry_until_ms = until_ms,
                          .backoff_ms = FL_WRITE_BACKOFF_MS };
  return FL_WRITE_DO_COMMIT;
}

static enum fl_write_do
finish (struct fl_write *w, enum fl_write_end how)
{
  w->state = FL_WRITE_ENDED;
  w->end = how;
  return FL_WRITE_NOTHING;
}

static int
must_give_up (const struct fl_write *w, const struct fl_conditions *at)
{
  return at->now_ms >= w->retry_until_ms
         || (at->table_down && !w->retry_while_down);
}

static enum fl_write_do
back_off (struct fl_write *w, const struct fl_conditions *at)
{
  if (must_give_up (w, at))
    return finish (w,
                   w->may_be_committed ? FL_WRITE_UNKNOWN : FL_WRITE_REFUSED);
  /* Random jitter over the upper half of the backoff spreads the retries of
     many writers after an outage.  */
  w->due_ms = at->now_ms + w->backoff_ms / 2
              + (int64_t)((double)w->backoff_ms / 2 * at->jitter);
  w->backoff_ms *= 2;
  if (w->backoff_ms > FL_WRITE_BACKOFF_MAX_MS)
    w->backoff_ms = FL_WRITE_BACKOFF_MAX_MS;
  w->state = FL_WRITE_WAIT;
  return FL_WRITE_NOTHING;
}

static enum fl_write_do
retry (struct fl_write *w)
{
  w->state = w->may_be_committed ? FL_WRITE_READ : FL_WRITE_COMMIT;
  return w->may_be_committed ? FL_WRITE_DO_READ : FL_WRITE_DO_COMMIT;
}

static enum fl_write_do
on_row (struct fl_write *w, const struct fl_conditions *at, enum fl_row row)
{
  switch (row)
    {
    case FL_ROW_OURS:
      return finish (w, FL_WRITTEN);
    case FL_ROW_OTHER:
      return finish (w, FL_WRITE_CONFLICT);
    case FL_ROW_BEFORE:
      break;
    }
  if (must_give_up (w, at))
    return finish (w,
                   w->may_be_committed ? FL_WRITE_UNKNOWN : FL_WRITE_REFUSED);
  /* Commits the same content with the same check again.  If the first commit
     is only delayed, whichever of the two comes second finds the row already
     written and fails its check.  */
  w->state = FL_WRITE_COMMIT;
  return FL_WRITE_DO_COMMIT;
}

enum fl_write_do
fl_write_reply (struct fl_write *w, const struct fl_conditions *at,
                enum fl_reply reply, enum fl_row row)
{
  if (!fl_write_in_progress (w))
    return FL_WRITE_NOTHING;
  switch (reply)
    {
    case FL_REPLY_OK:
      return finish (w, FL_WRITTEN);
    case FL_REPLY_ROW:
      return on_row (w, at, row);
    case FL_REPLY_REFUSED:
      return back_off (w, at);
    case FL_REPLY_LOST:
      break;
    }
  if (w->state == FL_WRITE_COMMIT && !w->may_be_committed
      && !must_give_up (w, at))
    {
      w->may_be_committed = 1;
      return retry (w);
    }
  if (w->state == FL_WRITE_COMMIT)
    w->may_be_committed = 1;
  return back_off (w, at);
}

enum fl_write_do
fl_write_tick (struct fl_write *w, const struct fl_conditions *at)
{
  if (w->state != FL_WRITE_WAIT)
    return FL_WRITE_NOTHING;
  if (must_give_up (w, at))
    return finish (w,
                   w->may_be_committed ? FL_WRITE_UNKNOWN : FL_WRITE_REFUSED);
  return at->now_ms >= w->due_ms ? retry (w) : FL_WRITE_NOTHING;
}

int
fl_write_in_progress (const struct fl_write *w)
{
  return w->state == FL_WRITE_COMMIT || w->state == FL_WRITE_READ;
}
