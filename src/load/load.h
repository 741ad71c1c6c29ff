/* Open-loop load generator.  Requests are sent at scheduled times regardless
   of earlier answers.  Each request is followed to its end, and the ends are
   compared with the journals of the workers.  */
#ifndef LOAD_H
#define LOAD_H

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>

#include "skr/base.h"
#include "skr/http.h"

enum ld_error
{
  LD_OK = 0,
  LD_EINVAL = -711,  /* invalid list or an address outside loopback */
  LD_EFILE = -712,   /* a file cannot be opened */
  LD_EJOURNAL = -713 /* a journal cannot be read */
};

enum
{
  LD_MAX_ENTRIES = 32,
  LD_MAX_ACCOUNTS = 32,
  LD_MAX_REQUESTS = 200000,
  LD_MAX_ATTEMPTS = 8,
  LD_KEY_SIZE = 64,    /* bytes of an idempotency key with its NUL */
  LD_JOB_ID_SIZE = 96, /* bytes of a job's id with its NUL */
  LD_TIMEOUT_EXTRA_MS = 2000
};

struct ld_settings
{
  const char *entries, *accounts, *journals, *record, *prefix;
  int64_t rate; /* arrivals per second */
  int64_t count, max_ms, settle_ms;
  int64_t jobs_percent, repeatable_percent;
  int64_t deadline_ms, run_ms, answer_bytes;
  int64_t job_tasks, job_per_task, job_run_ms;
  int64_t attempts, seed;
  int64_t again; /* resubmissions of a refused request */
  int job_urgent, json;
};

/* End of a request as its caller sees it.  */
enum ld_end
{
  LD_OPEN,     /* no answer yet */
  LD_ACCEPTED, /* a job that has not ended yet */
  LD_DONE,
  LD_FAILED,  /* ran and reported failure */
  LD_NOT_RUN, /* refused, or the system has no record of it */
  LD_UNSENT,  /* no entry could be reached */
  LD_UNKNOWN,
  LD_END_COUNT
};

enum ld_digest
{
  LD_DIGEST_NONE, /* no answer checked */
  LD_DIGEST_OK,
  LD_DIGEST_BAD
};

struct ld;

struct ld_request
{
  struct ld *ld;
  int index, account, is_job, repeatable;
  char key[LD_KEY_SIZE], job_id[LD_JOB_ID_SIZE];
  char digest[BS_DIGEST_SIZE];    /* of the payload */
  int64_t scheduled_ms, ended_ms; /* monotonic clock */
  enum ld_end end;
  enum ld_digest digest_check;
  long status;
  int attempts, was_sent;  /* was_sent: it may have reached an entry */
  int resubmissions;       /* after a refusal */
  int is_submission;       /* the pending HTTP request is the submission
                           itself, not a state query */
  int64_t retry_at_ms;     /* earliest resubmission, monotonic clock */
  int64_t refused_wall_ms; /* last refusal, wall clock; 0: none */
  int false_refusal;       /* it ran although its end says that it did not, or
                          had started before its last refusal */
  int starts;              /* starts found in the journals */
  int duplicate_starts;
};

struct ld_account
{
  char *name, *authorization; /* AUTHORIZATION is the whole header */
};

struct ld
{
  struct ld_settings settings;
  char **entries; /* "IP:PORT" */
  int entry_count;
  struct ld_account accounts[LD_MAX_ACCOUNTS];
  int account_count;
  struct hc_client *client;
  gsl_rng *rng;
  pthread_mutex_t lock; /* protects REQUESTS and PENDING_COUNT */
  pthread_cond_t ended;
  struct ld_request *requests;
  int request_count, pending_count;
  int64_t started_ms;
};

/* Ends of the requests and their discrepancies from the journals.  */
struct ld_counters
{
  int sent, ends[LD_END_COUNT];
  int lost, duplicated, wrong_answers, false_refusals;
  int unknown_ran; /* end unknown to the caller, start in a journal */
  int journals;    /* journals read */
};

/* Returns the monotonic time in milliseconds.  */
int64_t ld_now_ms (void);
/* Parses the lists of SETTINGS and checks that all addresses are loopback.
   Returns LD_OK or LD_EINVAL.  Call ld_fini in both cases.  */
int ld_init (struct ld *ld, const struct ld_settings *settings);
void ld_fini (struct ld *ld);
/* Sends all requests at their scheduled times and waits for their first
   answers.  */
void ld_run (struct ld *ld);
/* Submits R with its idempotency key to the next entry.  DONE is called with
   the answer.  Returns 0 or an hc_error.  */
int ld_post (struct ld_request *r, hc_done *done, int timeout_ms);
/* Returns the body of R, to be freed with free, and sets the digest of its
   payload.  */
char *ld_body (struct ld_request *r);
/* Updates R from ANSWER.  Call with the lock held.  */
void ld_apply_answer (struct ld_request *r, const struct hc_answer *answer);
/* Polls the open requests until each has an end or the settle time is over. */
void ld_poll_open (struct ld *ld);
/* Compares the ends with the journals and fills COUNT.  Returns LD_OK or
   LD_EJOURNAL.  */
int ld_count_ends (struct ld *ld, struct ld_counters *count);
/* Writes one JSON line per request to the record file, if one is set.  Returns
   LD_OK or LD_EFILE.  */
int ld_write_record (const struct ld *ld);
/* Prints the counters and latencies to standard output.  */
void ld_report (const struct ld *ld, const struct ld_counters *count);
/* Returns whether ADDRESS is IP:PORT with an IPv4 loopback address.  */
int ld_is_loopback (const char *address);

#endif
