/* How long the rows of keys are kept, and which entry VM deletes them.  */
#ifndef FILTER_KEEP_H
#define FILTER_KEEP_H

#include <jansson.h>
#include <stdint.h>

#include "filter/pool.h"

/* Whether VALUE was last written KEEP_MS before WALL_MS.  */
int fl_keep_is_old (const json_t *value, int64_t wall_ms, int64_t keep_ms);
/* Whether this VM deletes the rows of ACCOUNT: one of those that have the
   same list does.  */
int fl_keep_is_mine (const struct fl_pool *p, const char *account);

#endif
