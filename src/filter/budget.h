/* Retry budget: retries and hedges stay under a tenth of the calls, with a
   small floor so that a quiet VM can retry at all.  */
#ifndef FILTER_BUDGET_H
#define FILTER_BUDGET_H

#include <stdint.h>

enum
{
  FL_BUDGET_CALLS_PER_RETRY = 10,   /* calls that earn one retry */
  FL_BUDGET_MAX_RETRIES = 100,      /* retries that can be saved up */
  FL_BUDGET_INITIAL_RETRIES = 10,   /* retries at the start */
  FL_BUDGET_FLOOR_INTERVAL_MS = 500 /* one more retry in each such time */
};

struct fl_budget
{
  double retries; /* retries */
  int64_t last_floor_ms;
};

void fl_budget_init (struct fl_budget *b, int64_t now_ms);
/* A call began.  */
void fl_budget_deposit (struct fl_budget *b);
/* Returns 1 and takes one retry, or 0 when none is left.  */
int fl_budget_withdraw (struct fl_budget *b, int64_t now_ms);

#endif
