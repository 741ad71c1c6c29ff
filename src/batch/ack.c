#include "batch/ack.h"

enum
{
  /* A start without an answer may be executed by an incarnation that is not
     known yet.  No end is acknowledged for this long after it, nor delayed for
     longer: the platform asks for an acknowledgement within 4 s.  */
  OPEN_START_MS = 2500,
  /* A worker that gets starts all the time gets none after so many listings on
     which no acknowledgement could rely.  */
  MAX_USELESS_LISTINGS = 3
};

void
ak_init (struct ak_ends *e, int64_t began_ms)
{
  *e = (struct ak_ends){ .listed_serial = -1,
                         .open_until_ms = began_ms + OPEN_START_MS };
}

void
ak_begin_incarnation (struct ak_ends *e)
{
  e->received = e->waiting = e->stored = e->acked = 0;
  e->listed_serial = -1;
  e->useless_listings = 0;
}

void
ak_start_queued (struct ak_ends *e)
{
  e->starts_pending++;
}

void
ak_start_sent (struct ak_ends *e)
{
  e->start_serial++;
}

void
ak_start_unanswered (struct ak_ends *e, int64_t now)
{
  e->open_until_ms = now + OPEN_START_MS;
}

void
ak_start_done (struct ak_ends *e)
{
  e->starts_pending--;
}

int
ak_may_start (const struct ak_ends *e, int64_t token)
{
  return token > e->ack_token && token > e->lost_token;
}

int64_t
ak_listing_requested (const struct ak_ends *e)
{
  return e->starts_pending ? -1 : e->start_serial;
}

void
ak_listed (struct ak_ends *e, int64_t requested_serial, int64_t last,
           int64_t change_serial, int is_held, int64_t now)
{
  e->listed_serial = requested_serial;
  e->listed_ms = now;
  e->is_held = is_held;
  if (ak_wants (e) && requested_serial != e->start_serial)
    e->useless_listings++;
  if (last <= e->received)
    return;
  e->received = last;
  e->received_serial = change_serial;
}

/* The ends that are received while others wait for their records wait for
   their own.  */
static void
advance_stored (struct ak_ends *e, int64_t stored_serial)
{
  for (int i = 0; i < 2 && !e->is_held; i++)
    {
      if (e->waiting > e->stored && e->waiting_serial <= stored_serial)
        e->stored = e->waiting;
      if (e->waiting > e->stored || e->received <= e->stored)
        return;
      e->waiting = e->received;
      e->waiting_serial = e->received_serial;
    }
}

void
ak_stored (struct ak_ends *e, int64_t stored_serial, int64_t now)
{
  int wanted = ak_wants (e);

  advance_stored (e, stored_serial);
  if (!wanted)
    e->stored_ms = now;
}

int
ak_wants (const struct ak_ends *e)
{
  return e->stored > e->acked;
}

int64_t
ak_waited_ms (const struct ak_ends *e, int64_t now)
{
  return now - e->stored_ms;
}

/* Whether the ends wait for a start without an answer.  */
static int
waits_for_open_start (const struct ak_ends *e, int64_t now)
{
  return now < e->open_until_ms && ak_waited_ms (e, now) < OPEN_START_MS;
}

int64_t
ak_number (const struct ak_ends *e, int64_t now)
{
  if (!ak_wants (e) || e->starts_pending || e->listed_serial != e->start_serial
      || waits_for_open_start (e, now))
    return 0;
  /* With a start open for too long, the worker must have been heard just
     now.  */
  return now < e->open_until_ms && e->listed_ms != now ? 0 : e->stored;
}

int
ak_needs_listing (const struct ak_ends *e, int64_t now)
{
  return ak_wants (e) && !e->starts_pending && !waits_for_open_start (e, now)
         && !ak_number (e, now);
}

int
ak_is_overdue (const struct ak_ends *e, int64_t now)
{
  return ak_wants (e) && !e->ack_token
         && e->useless_listings >= MAX_USELESS_LISTINGS
         && !waits_for_open_start (e, now);
}

void
ak_sent (struct ak_ends *e, int64_t number, int64_t token)
{
  if (number)
    e->ack_token = token;
}

void
ak_answered (struct ak_ends *e, int64_t number, enum ak_outcome outcome,
             int64_t now)
{
  if (!number)
    return;
  if (outcome == AK_LOST)
    e->lost_token = e->ack_token;
  e->ack_token = 0;
  if (outcome != AK_FORGOTTEN || number <= e->acked)
    return;
  e->acked = number;
  e->stored_ms = now;
  e->useless_listings = 0;
}
