#include "filter/budget.h"

void
fl_budget_init (struct fl_budget *b, int64_t now_ms)
{
  *b = (struct fl_budget){ FL_BUDGET_INITIAL_RETRIES, now_ms };
}

void
fl_budget_deposit (struct fl_budget *b)
{
  b->retries += 1.0 / FL_BUDGET_CALLS_PER_RETRY;
  if (b->retries > FL_BUDGET_MAX_RETRIES)
    b->retries = FL_BUDGET_MAX_RETRIES;
}

int
fl_budget_withdraw (struct fl_budget *b, int64_t now_ms)
{
  if (b->retries < 1
      && now_ms - b->last_floor_ms >= FL_BUDGET_FLOOR_INTERVAL_MS)
    {
      b->last_floor_ms = now_ms;
      b->retries += 1;
    }
  if (b->retries < 1)
    return 0;
  b->retries -= 1;
  return 1;
}
