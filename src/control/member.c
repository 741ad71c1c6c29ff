#include <stdio.h>
#include <string.h>

#include "control/member.h"

enum
{
  MAX_ACCELERATORS = 64,
  MAX_SLOTS = 4096,
  MAX_CONNECTIONS = 65536,
  POLL_AGE_DIVISOR = 16 /* poll interval = age of the last order / this */
};

static int
copy_text (char *to, size_t size, const char *from)
{
  if (!*from || strlen (from) >= size)
    return CT_EINVAL;
  snprintf (to, size, "%s", from);
  return CT_OK;
}

int
mb_parse (struct mb_worker *w, const json_t *vm)
{
  const char *id, *address, *rack, *state = "live";
  json_int_t accelerators, slots, connections = 0;

  memset (w, 0, sizeof *w);
  w->answered_ms = w->fenced_ms = -1;
  if (json_unpack ((json_t *)vm, "{s:s, s:s, s:s, s?s, s:I, s:I, s?I}", "id",
                   &id, "address", &address, "rack", &rack, "state", &state,
                   "accelerators", &accelerators, "slots", &slots,
                   "connections", &connections))
    return CT_EINVAL;
  if (copy_text (w->id, CT_NAME, id)
      || copy_text (w->address, CT_ADDRESS, address)
      || copy_text (w->rack, CT_NAME, rack))
    return CT_EINVAL;
  if (accelerators < 0 || accelerators > MAX_ACCELERATORS || slots < 0
      || slots > MAX_SLOTS || connections < 0 || connections > MAX_CONNECTIONS)
    return CT_EINVAL;
  w->accelerators = (int32_t)accelerators;
  w->slots = (int32_t)slots;
  w->connections = (int32_t)connections;
  w->listed = 1;
  w->listed_leaving = strcmp (state, "leaving") == 0;
  return CT_OK;
}

void
mb_update_listing (struct mb_worker *w, const struct mb_worker *listed)
{
  w->listed = listed != NULL;
  if (!listed)
    return;
  w->listed_leaving = listed->listed_leaving;
  w->connections = listed->connections;
  snprintf (w->address, CT_ADDRESS, "%s", listed->address);
}

void
mb_answered (struct mb_worker *w, int64_t now_ms)
{
  w->answered_ms = now_ms;
}

void
mb_set_leaving (struct mb_worker *w, int leaving)
{
  w->reports_leaving = leaving;
}

static int
is_suspect (const struct mb_worker *w, int64_t now_ms,
            const struct mb_times *times)
{
  return w->answered_ms < 0
         || now_ms - w->answered_ms > times->suspect_after_ms;
}

int
mb_may_renew (const struct mb_worker *w, int64_t now_ms,
              const struct mb_times *times)
{
  if (w->state == MB_NEW && w->answered_ms < 0)
    return 0;
  return !is_suspect (w, now_ms, times);
}

int64_t
mb_leases_end_ms (const struct mb_worker *w, const struct mb_times *times)
{
  return w->renewed_ms + times->max_request_ms + times->lease_ms;
}

void
mb_order_sent (struct mb_worker *w, int64_t now_ms,
               const struct mb_times *times)
{
  w->last_order_ms = now_ms;
  if (w->next_poll_ms > now_ms + times->poll_ms)
    w->next_poll_ms = now_ms + times->poll_ms;
}

void
mb_poll_sent (struct mb_worker *w, int64_t now_ms,
              const struct mb_times *times)
{
  int64_t after_ms = (now_ms - w->last_order_ms) / POLL_AGE_DIVISOR;

  if (after_ms > times->poll_max_ms)
    after_ms = times->poll_max_ms;
  if (after_ms < times->poll_ms)
    after_ms = times->poll_ms;
  w->next_poll_ms = now_ms + after_ms;
}

static int
is_leaving (const struct mb_worker *w)
{
  return !w->listed || w->listed_leaving || w->reports_leaving;
}

enum mb_change
mb_step (struct mb_worker *w, int64_t now_ms, const struct mb_times *times)
{
  int suspect = is_suspect (w, now_ms, times);

  switch (w->state)
    {
    case MB_NEW:
    case MB_DOWN:
      if (suspect)
        return MB_NONE;
      w->state = is_leaving (w) ? MB_LEAVING : MB_UP;
      return w->state == MB_UP ? MB_JOINED : MB_STARTED_LEAVING;
    case MB_UP:
    case MB_LEAVING:
      if (suspect && now_ms > mb_leases_end_ms (w, times))
        {
          w->state = MB_DOWN;
          return MB_LOST;
        }
      if (w->state == MB_UP && is_leaving (w))
        {
          w->state = MB_LEAVING;
          return MB_STARTED_LEAVING;
        }
      if (w->state == MB_LEAVING && !suspect && !is_leaving (w))
        {
          w->state = MB_UP;
          return MB_JOINED;
        }
      return MB_NONE;
    }
  return MB_NONE;
}
