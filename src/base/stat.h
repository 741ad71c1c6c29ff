#ifndef BASE_STAT_H
#define BASE_STAT_H

#include "skr/stat.h"

/* The values of one series, summed over all threads.  */
struct st_merged
{
  int64_t value, sum_us;
  double bucket[ST_BUCKETS];
};

void st_merge (struct st_registry *reg, int series, struct st_merged *out);
/* Upper end of bucket I in microseconds.  */
double st_bucket_end (int i);
const char *st_kind_name (enum st_kind kind);

#endif
