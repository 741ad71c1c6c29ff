/* Limits of each client account, calls per second and concurrent calls, over
   all entry VMs together.  No VM asks another one during a call.

   Each VM reports once a second to the others what each account used.  A VM
   may use its even share, limit / VMs, or, when that is more, what the
   others leave unused, but at most twice what it used in the last period.

   Error bound: K VMs that double at once reach 2 K / (K + 1) of the limit,
   because each of them subtracts the use that the others reported, and each
   remaining VM adds an even share.  So the sum stays below three times the
   limit for one period plus the delay of a message.  After that it is within
   the limit as long as all VMs ask for more than they get.

   A VM without a recent report of every listed peer keeps to its even share,
   so that the parts of a partitioned network together stay within the limit
   once FL_LIMIT_STALE_MS have passed.  A limit below the number of VMs is
   rounded up to one for each VM.  */
#ifndef FILTER_LIMIT_H
#define FILTER_LIMIT_H

#include <stdint.h>

enum
{
  FL_LIMIT_PERIOD_MS = 1000,
  FL_LIMIT_STALE_MS = 3000 /* age at which a peer's report expires */
};

/* Returns what one of VMS entry VMs may use of LIMIT in the next period.  In
   the last period it used OWN and all its peers together used PEERS.
   PEERS_KNOWN tells whether there is a recent report of every peer.  */
int32_t fl_limit_allowed (int32_t limit, int vms, int32_t own, int32_t peers,
                          int peers_known);

enum fl_limit_result
{
  FL_LIMIT_PASS,
  FL_LIMIT_RATE,
  FL_LIMIT_CONCURRENCY
};

/* Limits and use of one account on one VM.  */
struct fl_limit
{
  int32_t calls_per_second, concurrent_calls; /* of the plan, all VMs */
  int32_t allowed_rate, allowed_concurrent;
  int32_t in_progress, peak_in_progress, admitted;
  double tokens;
  int64_t refilled_ms;
};

void fl_limit_init (struct fl_limit *l, int64_t now_ms);
/* Counts one call in, or returns the limit that it would exceed.  Each call
   that passed must be ended by fl_limit_release.  */
enum fl_limit_result fl_limit_acquire (struct fl_limit *l, int64_t now_ms);
void fl_limit_release (struct fl_limit *l);
/* To be called at the end of each period: sets what is allowed in the next
   one.  */
void fl_limit_end_period (struct fl_limit *l, int vms, int32_t peers_rate,
                          int32_t peers_in_progress, int peers_known);

#endif
