#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include "skr/config.h"

/* Each checks one list's entries for form; returns 0 or CF_EINVAL.  */
int cf_check_plans (const json_t *list, char *reason);
int cf_check_allowances (const json_t *list, char *reason);
/* Every account's plan stands in the allowances.  */
int cf_check_together (const json_t *plans, const json_t *allowances,
                       char *reason);
/* Finds the entry of ALLOWANCES for PLAN, or NULL.  */
const json_t *cf_allowance (const json_t *allowances, const char *plan);
/* Reads a "guarantee" array; returns the number of shapes.  */
int cf_read_shapes (const json_t *guarantee, struct dc_shape *shape);
/* Splits all guarantees over the cells.  Returns a new object
   {ACCOUNT: {CELL: [shapes]}} or NULL with REASON when they do not fit.  */
json_t *cf_make_split (const json_t *plans, const json_t *allowances,
                       const struct cf_worker *fleet, int workers,
                       int32_t spare_workers, char *reason);
/* The row of KEY in the rows of a scan, or NULL.  */
const json_t *cf_row (const json_t *rows, const char *key);
int64_t cf_value_version (const json_t *value);

#endif
