#include "filter/limit.h"

static int32_t
larger (int32_t a, int32_t b)
{
  return a > b ? a : b;
}

static int32_t
smaller (int32_t a, int32_t b)
{
  return a < b ? a : b;
}

int32_t
fl_limit_allowed (int32_t limit, int vms, int32_t own, int32_t peers,
                  int peers_known)
{
  int32_t share = larger (1, limit / larger (1, vms));

  if (!limit)
    return 0;
  if (!peers_known)
    return share;
  return larger (share, smaller (2 * own, limit - peers));
}

void
fl_limit_init (struct fl_limit *l, int64_t now_ms)
{
  /* One token lets the first call of a new account pass at once.  */
  *l = (struct fl_limit){ .refilled_ms = now_ms, .tokens = 1 };
}

static void
refill (struct fl_limit *l, int64_t now_ms)
{
  double most = l->allowed_rate;

  l->tokens += most * (double)(now_ms - l->refilled_ms) / FL_LIMIT_PERIOD_MS;
  if (l->tokens > most)
    l->tokens = most;
  l->refilled_ms = now_ms;
}

enum fl_limit_result
fl_limit_acquire (struct fl_limit *l, int64_t now_ms)
{
  if (l->in_progress >= l->allowed_concurrent)
    return FL_LIMIT_CONCURRENCY;
  refill (l, now_ms);
  if (l->tokens < 1)
    return FL_LIMIT_RATE;
  l->tokens -= 1;
  l->admitted++;
  l->in_progress++;
  l->peak_in_progress = larger (l->peak_in_progress, l->in_progress);
  return FL_LIMIT_PASS;
}

void
fl_limit_release (struct fl_limit *l)
{
  l->in_progress--;
}

void
fl_limit_end_period (struct fl_limit *l, int vms, int32_t peers_rate,
                     int32_t peers_in_progress, int peers_known)
{
  l->allowed_rate = fl_limit_allowed (l->calls_per_second, vms, l->admitted,
                                      peers_rate, peers_known);
  l->allowed_concurrent
      = fl_limit_allowed (l->concurrent_calls, vms, l->peak_in_progress,
                          peers_in_progress, peers_known);
  l->admitted = 0;
  l->peak_in_progress = l->in_progress;
}
