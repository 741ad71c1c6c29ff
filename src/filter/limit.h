/* Calls a second and calls in progress of each client account, held over all
   entry VMs together without asking anyone at the time of a call.

   Each VM tells the others once a second what each account used.  A VM may
   use its even share, limit / VMs, or, when that is more, what the others
   leave, but at most double of what it used in the last period.

   Error bound: K VMs that double at once reach 2 K / (K + 1) of the limit,
   since each of them leaves out what it knows of the others, and the rest
   add an even share each.  So the sum stays under three times the limit for
   one period and the time a message takes, and is within the limit after
   that as long as all ask for more than they get.
   A VM that misses a listed peer's word keeps to its even share: cut-off
   parts together stay within the limit once FL_LIMIT_STALE_MS have passed.
   Limits below the number of VMs are rounded up to one for each VM.  */
#ifndef FILTER_LIMIT_H
#define FILTER_LIMIT_H

#include <stdint.h>

enum
{
  FL_LIMIT_PERIOD_MS = 1000,
  FL_LIMIT_STALE_MS = 3000 /* a peer's word counts so long */
};

/* What one VM may use of LIMIT: VMS entry VMs, OWN used in the last period,
   PEERS used by all others, HEARD when each of them was peers_known of.  */
int32_t fl_limit_allowed (int32_t limit, int vms, int32_t own, int32_t peers,
                          int peers_known);

enum fl_limit_result
{
  FL_LIMIT_PASS,
  FL_LIMIT_RATE,
  FL_LIMIT_CONCURRENCY
};

/* One account on one VM.  */
struct fl_limit
{
  int32_t calls_per_second, concurrent_calls; /* of the plan */
  int32_t allowed_rate, allowed_concurrent;
  int32_t in_progress, peak_in_progress, admitted;
  double tokens;
  int64_t refilled_ms;
};

void fl_limit_init (struct fl_limit *l, int64_t now_ms);
/* Takes one call in, unless it is over.  */
enum fl_limit_result fl_limit_acquire (struct fl_limit *l, int64_t now_ms);
void fl_limit_release (struct fl_limit *l);
/* At the end of each period: sets what is allowed in the next one.  */
void fl_limit_period (struct fl_limit *l, int vms, int32_t peers_rate,
                      int32_t peers_in_progress, int peers_known);

#endif
