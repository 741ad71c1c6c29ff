#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include "skr/config.h"

/* Each validates the entries of one list; returns 0, or CF_EINVAL with a
   message of at most CF_REASON_SIZE bytes in REASON.  */
int cf_check_plans (const json_t *list, char *reason);
int cf_check_allowances (const json_t *list, char *reason);
/* Checks that every plan of an account has an allowance; returns 0 or
   CF_EINVAL.  */
int cf_check_plan_references (const json_t *plans, const json_t *allowances,
                              char *reason);
/* Returns the entry of ALLOWANCES for PLAN, owned by ALLOWANCES, or NULL.  */
const json_t *cf_allowance (const json_t *allowances, const char *plan);
/* Reads a "guarantee" array into SHAPE; returns the number of shapes, at most
   DC_MAX_SHAPES.  */
int cf_read_shapes (const json_t *guarantee, struct dc_shape *shape);
/* Splits all guarantees over the cells.  Returns a new object
   {ACCOUNT: {CELL: [shapes]}} or NULL with REASON when they do not fit.  */
json_t *cf_make_split (const json_t *plans, const json_t *allowances,
                       const struct cf_worker *fleet, int workers,
                       int32_t spare_workers, char *reason);
/* The row of KEY in the array ROWS of a scan, or NULL when it is missing or
   deleted.  */
const json_t *cf_row (const json_t *rows, const char *key);
/* The "version" of a list's VALUE; 0 when VALUE is NULL.  */
int64_t cf_value_version (const json_t *value);

/* rows.c */
/* Returns a new object that maps row keys to the rows of all lists; a list
   that is NULL has no rows.  BEFORE holds the current rows.  */
json_t *cf_encode_rows (const json_t *plans, const json_t *allowances,
                        const json_t *split, const json_t *before);
/* Returns the new value of LIST, assembled from its HEAD and ROWS.  */
json_t *cf_decode_list (const char *list, const json_t *head, json_t *rows);
/* Returns the new head of LIST: VALUE without its entries, with the digest of
   the list's ROWS.  */
json_t *cf_encode_head (const char *list, const json_t *value,
                        const json_t *rows);
/* True when ROWS match the digests in all HEADS.  */
int cf_digests_match (const json_t *heads, const json_t *rows);
/* True when one of HEADS contains its list, as older releases wrote it.  */
int cf_has_inline_lists (const json_t *heads);

/* Replaces the lists in force if the given ones are newer; returns the same
   values as cf_apply.  ROWS may be NULL.  */
int cf_replace_lists (struct cf_store *store, json_t *plans,
                      json_t *allowances, json_t *split, json_t *rows);
/* Returns a new reference to the rows in force, or NULL.  */
json_t *cf_rows (struct cf_store *store);

#endif
