/* Retention of the rows of idempotency keys: when a row may be deleted, and
   by which entry VM.  */
#ifndef FILTER_RETENTION_H
#define FILTER_RETENTION_H

#include <jansson.h>
#include <stdint.h>

#include "filter/pool.h"

/* True when the row VALUE was last written KEEP_MS or more before WALL_MS,
   both in ms.  False when VALUE has no time.  */
int fl_retention_is_over (const json_t *value, int64_t wall_ms,
                          int64_t keep_ms);
/* True when this VM deletes the rows of ACCOUNT.  Among VMs with the same VM
   list, exactly one does.  */
int fl_retention_is_owner (const struct fl_pool *p, const char *account);

#endif
