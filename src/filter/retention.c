#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "filter/retention.h"

int
fl_retention_is_over (const json_t *value, int64_t wall_ms, int64_t keep_ms)
{
  int64_t at = json_integer_value (json_object_get (value, "at"));

  return at > 0 && wall_ms - at >= keep_ms;
}

int
fl_retention_is_owner (const struct fl_pool *p, const char *account)
{
  char text[2 * PR_ID_SIZE + 8];
  XXH64_hash_t best = 0;
  int owner = -1;

  for (int e = 0; e < p->entries; e++)
    {
      int size
          = snprintf (text, sizeof text, "keep/%s/%s", account, p->entry[e]);
      XXH64_hash_t hash = XXH3_64bits (text, (size_t)size);

      if (owner < 0 || hash > best)
        {
          best = hash;
          owner = e;
        }
    }
  return owner >= 0 && strcmp (p->entry[owner], p->self) == 0;
}
