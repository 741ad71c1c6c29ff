/* Counters, gauges and histograms, kept separately by each thread and merged
   when they are read.  */
#ifndef SKR_STAT_H
#define SKR_STAT_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

enum
{
  ST_MAX_SERIES = 1024,
  ST_MAX_THREADS = 16,
  ST_NAME_SIZE = 64,           /* bytes of a metric name with its NUL */
  ST_LABELS_SIZE = 192,        /* bytes of its labels with their NUL */
  ST_BUCKETS_PER_DOUBLING = 4, /* buckets between a value and its double */
  ST_DOUBLINGS = 26, /* from ST_FIRST_BUCKET_END_US up to about 70 minutes */
  ST_FIRST_BUCKET_END_US = 64, /* upper end of the first bucket */
  ST_BUCKETS = ST_BUCKETS_PER_DOUBLING * ST_DOUBLINGS
};

enum st_kind
{
  ST_COUNTER,
  ST_GAUGE,
  ST_HISTOGRAM /* of microseconds; printed in seconds */
};

struct st_series
{
  enum st_kind kind;
  char name[ST_NAME_SIZE];
  char labels[ST_LABELS_SIZE]; /* a="b",c="d" */
};

struct st_cell;

/* The values of one thread.  */
struct st_shard
{
  pthread_mutex_t lock;
  struct st_cell *cell; /* array, one for each series */
};

struct st_registry
{
  pthread_mutex_t lock;
  struct st_series series[ST_MAX_SERIES];
  int count, shards;
  struct st_shard shard[ST_MAX_THREADS];
};

void st_init (struct st_registry *reg);
/* To be called when no thread uses REG any more.  */
void st_fini (struct st_registry *reg);

/* Creates a shard for the calling thread.  Returns its handle, or BS_EFULL or
   BS_ENOMEM; the functions below ignore a negative handle.  */
int st_attach (struct st_registry *reg);

/* Finds or creates the series of NAME and LABELS (may be "").  Returns its
   handle or BS_EFULL.  Label values must not contain quotes or commas.  */
int st_series (struct st_registry *reg, enum st_kind kind, const char *name,
               const char *labels);

/* Add to, set or observe a value of the shard and series with the handles of
   st_attach and st_series; calls with invalid handles are ignored.  */
void st_add (struct st_registry *reg, int shard, int series, int64_t n);
void st_set (struct st_registry *reg, int shard, int series, int64_t value);
void st_observe_us (struct st_registry *reg, int shard, int series,
                    int64_t us);

/* The Q quantile of a histogram in microseconds, rounded up to the end of its
   bucket; -1 without observations.  */
int64_t st_quantile_us (struct st_registry *reg, int series, double q);
/* The value of a counter or gauge, summed over all threads, or the number of
   observations of a histogram.  */
int64_t st_value (struct st_registry *reg, int series);

/* All series in the Prometheus text format, to be freed by free; NULL when out
   of memory.  */
char *st_text (struct st_registry *reg);
/* All series as the JSON array "series" of docs/INTERFACES.md; the caller owns
   the reference.  */
json_t *st_json (struct st_registry *reg);

#endif
