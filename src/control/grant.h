/* Slots and connections of workers, granted to entry VMs for a limited time.
   At any time the sum of the unexpired grants of a worker is at most its
   capacity.  */
#ifndef CONTROL_GRANT_H
#define CONTROL_GRANT_H

#include <glib.h>
#include <stdint.h>

#include "control/control.h"

struct gr_amount
{
  int32_t slots, connections;
};

/* The grants of all workers.  */
struct gr_grants
{
  GHashTable *workers; /* worker name to a GArray of its grants */
};

/* Initializes an empty set of grants.  gr_fini frees it.  */
void gr_init (struct gr_grants *book);
void gr_fini (struct gr_grants *book);

/* Grants ENTRY, which is number INDEX of ENTRIES entry VMs, a part of WORKER
   until UNTIL_MS.  The grant is an equal share of WHOLE, or less while other
   entry VMs have unexpired grants for more than their shares.  */
struct gr_amount gr_grant (struct gr_grants *book, const char *worker,
                           struct gr_amount whole, const char *entry,
                           int index, int entries, int64_t now_ms,
                           int64_t until_ms);
/* Returns the sum of the grants that may be in use at NOW_MS.  */
struct gr_amount gr_in_use (struct gr_grants *book, const char *worker,
                            int64_t now_ms);

#endif
