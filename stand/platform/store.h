/* The table of the platform's stand-in: rows with versions, in memory.  */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum sp_error
{
  SP_OK = 0,
  SP_EINVAL = -911,   /* malformed transaction */
  SP_ECONFLICT = -912 /* a check did not hold */
};

struct sp_store
{
  GHashTable *tables; /* name to GTree of rows by key */
  int64_t rev;        /* of the last transaction */
};

struct sp_scan
{
  const char *prefix, *after; /* may be NULL */
  int64_t since;              /* revision; 0: all live rows */
  int64_t limit;              /* rows */
};

void sp_store_init (struct sp_store *store);
void sp_store_fini (struct sp_store *store);
/* A copy that shares the values, which are never changed in place.  */
void sp_store_copy (struct sp_store *to, const struct sp_store *from);
/* Applies TXN whole or not at all.  *ANSWER is {"rev"}, {"conflicts"} or
   {"error"}.  */
int sp_store_commit (struct sp_store *store, json_t *txn, json_t **answer);
/* One row, or NULL.  */
json_t *sp_store_get (const struct sp_store *store, const char *table,
                      const char *key);
/* {"rev","rows","more"}.  */
json_t *sp_store_scan (const struct sp_store *store, const char *table,
                       const struct sp_scan *scan);

#endif
