/* Retry budget of one VM.  Retries and hedges stay below a tenth of the
   calls.  A minimum rate lets a VM with few calls retry at all.  */
#ifndef FILTER_BUDGET_H
#define FILTER_BUDGET_H

#include <stdint.h>

enum
{
  FL_BUDGET_CALLS_PER_RETRY = 10,   /* each adds a tenth of a retry */
  FL_BUDGET_MAX_RETRIES = 100,      /* upper limit of the budget */
  FL_BUDGET_INITIAL_RETRIES = 10,   /* in a new budget */
  FL_BUDGET_FLOOR_INTERVAL_MS = 500 /* minimum: one retry each interval */
};

struct fl_budget
{
  double retries; /* available; fractions accumulate */ /* retries */
  int64_t last_floor_ms; /* last retry added by the minimum rate */
};

void fl_budget_init (struct fl_budget *b, int64_t now_ms);
/* Adds a call's share of a retry; call it once for each call.  */
void fl_budget_deposit (struct fl_budget *b);
/* Returns 1 and takes one retry from B, or 0 when none is available.  */
int fl_budget_withdraw (struct fl_budget *b, int64_t now_ms);

#endif
