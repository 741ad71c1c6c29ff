#include "filter/budget.h"

void
fl_budget_init (struct fl_budget *b, int64_t now_ms)
{
  *b = (struct fl_budget){ FL_BUDGET_START, now_ms };
}

void
fl_budget_earn (struct fl_budget *b)
{
  b->saved += 1.0 / FL_BUDGET_CALLS;
  if (b->saved > FL_BUDGET_MAX)
    b->saved = FL_BUDGET_MAX;
}

int
fl_budget_take (struct fl_budget *b, int64_t now_ms)
{
  if (b->saved < 1 && now_ms - b->floor_ms >= FL_BUDGET_FLOOR_MS)
    {
      b->floor_ms = now_ms;
      b->saved += 1;
    }
  if (b->saved < 1)
    return 0;
  b->saved -= 1;
  return 1;
}
