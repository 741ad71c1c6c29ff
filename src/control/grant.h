/* Slots and connections of workers, granted to entry VMs for a short time.
   The grants that may still be in use never sum over a worker's numbers.  */
#ifndef CONTROL_GRANT_H
#define CONTROL_GRANT_H

#include <glib.h>
#include <stdint.h>

#include "control/control.h"

struct gr_amount
{
  int32_t slots, connections;
};

struct gr_book
{
  GHashTable *workers; /* name to its grants */
};

void gr_init (struct gr_book *book);
void gr_fini (struct gr_book *book);

/* What the ENTRY may use of WORKER until UNTIL_MS: its share of WHOLE, the
   INDEX-th of ENTRIES, or less while others still hold more than theirs.  */
struct gr_amount gr_grant (struct gr_book *book, const char *worker,
                           struct gr_amount whole, const char *entry,
                           int index, int entries, int64_t now_ms,
                           int64_t until_ms);
/* The sum of what may be in use at NOW_MS.  */
struct gr_amount gr_in_use (struct gr_book *book, const char *worker,
                            int64_t now_ms);

#endif
