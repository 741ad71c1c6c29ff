/* Open-loop load: requests arrive at their own times whatever the system
   does, each one is followed to its end, and the ends are compared with what
   the workers say they ran.  */
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
  LD_EINVAL = -711, /* bad list or an address off loopback */
  LD_EFILE = -712,  /* a file cannot be opened */
  LD_EANSWER = -713 /* a journal did not answer */
};

enum
{
  LD_MAX_ENTRIES = 32,
  LD_MAX_ACCOUNTS = 32,
  LD_MAX_REQUESTS = 200000,
  LD_MAX_ATTEMPTS = 8,
  LD_KEY = 64, /* bytes of a key with its NUL */
  LD_JOB = 96, /* bytes of a job's id with its NUL */
  LD_TIMEOUT_EXTRA_MS = 2000
};

struct ld_settings
{
  const char *entries, *accounts, *journals, *record, *prefix;
  int64_t rate; /* arrivals in a second */
  int64_t count, max_ms, settle_ms;
  int64_t jobs_percent, repeatable_percent;
  int64_t deadline_ms, run_ms, answer_bytes;
  int64_t job_tasks, job_per_task, job_run_ms;
  int64_t attempts, seed;
  int64_t again; /* times that a refused request is asked again */
  int job_urgent, json;
};

/* How a request ended, for its caller.  */
enum ld_end
{
  LD_OPEN,     /* not yet */
  LD_ACCEPTED, /* a job that has not ended */
  LD_DONE,
  LD_FAILED,  /* it ran and reported failure */
  LD_NOT_RUN, /* refused, or the system has no record of it */
  LD_UNSENT,  /* no entry could be reached */
  LD_UNKNOWN,
  LD_ENDS
};

enum ld_digest
{
  LD_DIGEST_NONE, /* no answer to check */
  LD_DIGEST_OK,
  LD_DIGEST_BAD
};

struct ld;

struct ld_request
{
  struct ld *ld;
  int index, account, is_job, repeatable;
  char key[LD_KEY], job[LD_JOB];
  char digest[BS_DIGEST_SIZE]; /* of the payload */
  int64_t due_ms, ended_ms;    /* on the monotonic clock */
  enum ld_end end;
  enum ld_digest check;
  long status;
  int attempts, sent_once; /* a byte of it has left */
  int again;               /* times asked again after a refusal */
  int posted;              /* the question in progress is the request itself */
  int64_t retry_ms;        /* when a refused one may be asked again */
  int64_t refused_wall_ms; /* last refusal; 0: none */
  int false_refusal;       /* it had started, or started after its last end */
  int starts;              /* in the journals */
  int doubled;
};

struct ld_account
{
  char *name, *authorization; /* the header */
};

struct ld
{
  struct ld_settings settings;
  char **entry; /* "IP:PORT" */
  int entries;
  struct ld_account account[LD_MAX_ACCOUNTS];
  int accounts;
  struct hc_client *hc;
  gsl_rng *rng;
  pthread_mutex_t lock; /* of the requests and PENDING */
  pthread_cond_t ended;
  struct ld_request *request;
  int requests, pending;
  int64_t started_ms;
};

/* What the journals say against the ends.  */
struct ld_count
{
  int sent, end[LD_ENDS];
  int lost, doubled, crossed, false_refusals;
  int unknown_ran; /* unknown to the caller, and in a journal */
  int journals;    /* read */
};

int64_t ld_now_ms (void);
/* Splits the lists of the settings and checks the addresses.  */
int ld_init (struct ld *ld, const struct ld_settings *settings);
void ld_fini (struct ld *ld);
/* Sends all requests at their times and waits for their first ends.  */
void ld_run (struct ld *ld);
/* Sends R to the next entry by its key, for DONE to take up the answer.
   Returns 0 or an hc_error.  */
int ld_post (struct ld_request *r, hc_done *done, int timeout_ms);
/* The body of a request; freed by free.  Sets the digest of its payload.  */
char *ld_body (struct ld_request *r);
/* Takes up an answer about R.  Call with the lock held.  */
void ld_take (struct ld_request *r, const struct hc_answer *answer);
/* Asks by key or job until every request has an end or time is up.  */
void ld_settle (struct ld *ld);
/* Compares with the journals.  Returns 0 or LD_EANSWER.  */
int ld_count (struct ld *ld, struct ld_count *count);
/* Writes the record of every request.  Returns 0 or LD_EFILE.  */
int ld_record (const struct ld *ld);
void ld_report (const struct ld *ld, const struct ld_count *count);
/* 1 when ADDRESS is an IP number of this host's loopback and a port.  */
int ld_is_loopback (const char *address);

#endif
