/* The transactional table of the stand-in for the platform: rows with
   versions, in memory.  */
#ifndef PLATFORM_STORE_H
#define PLATFORM_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum sp_error
{
  SP_OK = 0,
  SP_EINVAL = -911,   /* malformed transaction */
  SP_ECONFLICT = -912 /* a checked row has another version */
};

struct sp_store
{
  GHashTable *tables; /* name to GTree of rows by key */
  int64_t rev;        /* revision of the last transaction */
};

struct sp_scan
{
  const char *prefix;    /* of the keys; may be NULL */
  const char *after_key; /* key after which the scan starts; may be NULL */
  int64_t since; /* only rows changed after this revision; 0: all rows */
  int64_t limit; /* rows */
};

void sp_store_init (struct sp_store *store);
void sp_store_fini (struct sp_store *store);
/* Initializes TO as a copy of FROM.  The copy shares the values, which are
   never modified in place.  */
void sp_store_copy (struct sp_store *to, const struct sp_store *from);
/* Applies the transaction TXN atomically.  *ANSWER is a new reference to
   {"rev"}, or to {"conflicts"} or {"error"} on an error.  */
int sp_store_commit (struct sp_store *store, json_t *txn, json_t **answer);
/* Returns one row as a new reference, or NULL.  */
json_t *sp_store_get (const struct sp_store *store, const char *table,
                      const char *key);
/* Returns {"rev","rows","more"} as a new reference.  Deleted rows are included
   only when SCAN->since is not 0.  */
json_t *sp_store_scan (const struct sp_store *store, const char *table,
                       const struct sp_scan *scan);

#endif
