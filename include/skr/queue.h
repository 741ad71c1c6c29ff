/* The operators' configuration of queues and client accounts.  */
#ifndef SKR_QUEUE_H
#define SKR_QUEUE_H

#include <stdint.h>

enum qu_error
{
  QU_OK = 0,
  QU_EINVAL = -241 /* invalid configuration */
};

/* A queue of jobs, selected by a request's host and path prefix.  */
struct qu_queue
{
  char *name, *host, *prefix;
  char *service;     /* service whose workers run its tasks */
  int priority;      /* 0 is the highest and may preempt */
  int max_attempts;  /* limit on the failed runs of a task */
  double stretch;    /* factor of the objective, see sj_job */
  int64_t target_ms; /* constant part of the objective */
  int is_public;     /* requests need no key */
  int needs_adviser; /* runs only on workers that an adviser names */
};

/* A client account and its API keys.  */
struct qu_account
{
  char *name;
  char **key;
  int key_count;
  int64_t
      guaranteed_accelerators; /* accelerators for its jobs of priority 0 */
};

/* The configuration; its strings and arrays belong to it.  */
struct qu_config
{
  int64_t version;
  int queue_count, account_count;
  struct qu_queue *queue;
  struct qu_account *account;
};

/* Frees CONFIG and all it owns; NULL is ignored.  */
void qu_free (struct qu_config *config);
/* Returns the queue of HOST, whose port is ignored, with the longest prefix of
   PATH and sets *REST to the part of PATH after it.  Returns NULL if there is
   none or HOST is NULL.  */
const struct qu_queue *qu_find_queue (const struct qu_config *config,
                                      const char *host, const char *path,
                                      const char **rest);
/* Returns the account that has KEY, or NULL.  Keys are compared in constant
   time.  */
const struct qu_account *qu_find_account (const struct qu_config *config,
                                          const char *key);
/* Converts a wait of WAIT_MS milliseconds to the seconds of a Retry-After
   header: rounded up, at least 1.  */
int qu_retry_after_s (int64_t wait_ms);

#endif
