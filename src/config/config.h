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

/* rows.c.  All lists as an object of rows by their keys; a value that is NULL
   has none.  BEFORE are the rows that stand.  */
json_t *cf_rows_of (const json_t *plans, const json_t *allowances,
                    const json_t *split, const json_t *before);
/* The value of LIST from its head and the rows.  */
json_t *cf_value_of (const char *list, const json_t *head, json_t *rows);
json_t *cf_head_of (const char *list, const json_t *value, const json_t *rows);
/* True when ROWS are those that all HEADS were written with.  */
int cf_rows_match (const json_t *heads, const json_t *rows);
/* True when a head of HEADS holds its list itself.  */
int cf_is_whole (const json_t *heads);

/* Puts lists in force that are newer; returns as cf_apply.  ROWS may be
   NULL.  */
int cf_take (struct cf_store *store, json_t *plans, json_t *allowances,
             json_t *split, json_t *rows);
/* A new reference to the rows in force, or NULL.  */
json_t *cf_rows (struct cf_store *store);

#endif
