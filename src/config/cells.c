/* Division of a failure domain into cells.  One row holds the number of cells
   per domain for the whole deployment and never changes: two daemons that
   divide a domain differently would send orders to the same worker from two
   cells.  */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "config/config.h"

static int64_t
read_cells_per_domain (const json_t *rows)
{
  const json_t *value = json_object_get (cf_row (rows, CF_CELLS_KEY), "value");
  int64_t n = json_integer_value (json_object_get (value, "per_domain"));

  return n >= 1 && n <= CF_MAX_PER_DOMAIN ? n : 0;
}

int
cf_load_cells_per_domain (struct cf_store *store, const json_t *rows)
{
  int64_t n = read_cells_per_domain (rows);
  int updated;

  pthread_rwlock_wrlock (&store->lock);
  updated = n && !store->per_domain;
  if (updated)
    store->per_domain = (int)n;
  pthread_rwlock_unlock (&store->lock);
  return updated;
}

int
cf_cells_per_domain (struct cf_store *store)
{
  int n;

  pthread_rwlock_rdlock (&store->lock);
  n = store->per_domain;
  pthread_rwlock_unlock (&store->lock);
  return n;
}

int
cf_init_cells_per_domain (struct cf_store *store, const json_t *rows,
                          int per_domain, struct tb_txn *txn)
{
  int known = cf_cells_per_domain (store);

  if (cf_row (rows, CF_CELLS_KEY))
    return 0;
  tb_txn_check (txn, CF_TABLE, CF_CELLS_KEY, 0);
  tb_txn_put (txn, CF_TABLE, CF_CELLS_KEY,
              json_pack ("{s:i}", "per_domain", known ? known : per_domain));
  return 1;
}

/* All workers of a rack belong to the same cell.  */
void
cf_cell_name (char out[CF_NAME_SIZE], const char *domain, const char *rack,
              int per_domain)
{
  uint64_t hash = XXH3_64bits (rack, strlen (rack));
  unsigned char part;

  if (per_domain <= 1)
    {
      snprintf (out, CF_NAME_SIZE, "%s", domain);
      return;
    }
  part = (unsigned char)(hash % (unsigned)per_domain + 1);
  snprintf (out, CF_NAME_SIZE, "%.*s.%u", CF_DOMAIN_SIZE - 1, domain, part);
}
