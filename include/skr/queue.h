/* The operators' configuration of queues and client accounts.  */
#ifndef SKR_QUEUE_H
#define SKR_QUEUE_H

#include <stdint.h>

enum qu_error
{
  QU_OK = 0,
  QU_EINVAL = -241 /* the configuration can't be used */
};

/* A queue of jobs; callers name it by host and path.  */
struct qu_queue
{
  char *name, *host, *prefix;
  char *service;     /* whose workers run its tasks */
  int priority;      /* 0 comes first and may preempt */
  int max_attempts;  /* failed runs of a task */
  double stretch;    /* of the objective, see sj_job */
  int64_t target_ms; /* added to the objective */
  int is_public;     /* needs no key */
  int needs_advice;  /* only workers that an adviser names may run it */
};

struct qu_account
{
  char *name;
  char **key;
  int keys;
  int64_t guaranteed; /* accelerators for its jobs of priority 0 */
};

struct qu_config
{
  int64_t version;
  int queues, accounts;
  struct qu_queue *queue;
  struct qu_account *account;
};

void qu_free (struct qu_config *config);
/* The queue of HOST (a port is cut off) with the longest prefix of PATH, or
   NULL; *REST points behind the prefix.  */
const struct qu_queue *qu_find (const struct qu_config *config,
                                const char *host, const char *path,
                                const char **rest);
/* The account that holds KEY, or NULL.  Compares in constant time.  */
const struct qu_account *qu_account_of (const struct qu_config *config,
                                        const char *key);
/* Seconds of a truthful Retry-After: WAIT_MS rounded up, at least 1.  */
int qu_retry_after_s (int64_t wait_ms);

#endif
