/* Filter chain that every request passes before it uses any resources:
   parse the path, authenticate, check permission, decode the body, apply
   limits, check the idempotency key, shed load, route.  It does no I/O; all
   inputs are in struct fl_env.  */
#ifndef FILTER_CHAIN_H
#define FILTER_CHAIN_H

#include "filter/fleet.h"
#include "filter/limit.h"
#include "filter/parse.h"
#include "filter/pool.h"
#include "filter/problem.h"
#include "skr/base.h"

enum
{
  FL_OPERATOR = -1, /* the operator, in place of an account's handle */
  /* Tokens of all bodies on this VM, at most, unless there is but one.  A tree
     takes up to 150 bytes a token, so all 40 MB.  */
  FL_MAX_TOKENS = 262144,
  FL_MAX_ID = 160, /* characters of a key or job in a path */
  FL_ROW_KEY_SIZE = PR_ID_SIZE + FL_MAX_ID + 2,
  /* Load, in percent of max_in_progress, from which requests are refused:
     bulk jobs first, calls last.  */
  FL_SHED_BULK_PERCENT = 50,
  FL_SHED_JOBS_PERCENT = 80,
  FL_SHED_CALLS_PERCENT = 95 /* remainder: reads and operators */
};

enum fl_op
{
  FL_OP_NONE,
  FL_OP_HEALTH,
  FL_OP_CALL,
  FL_OP_CALL_GET,
  FL_OP_JOB,
  FL_OP_JOB_GET,
  FL_OP_JOB_CANCEL,
  FL_OP_JOB_LIST,
  FL_OP_LIST_GET,
  FL_OP_LIST_PUT,
  FL_OP_VMS,
  FL_OP_CELLS,
  FL_OP_STATUS,
  FL_OP_METRICS,
  FL_OP_COUNTERS
};

/* A client account, its limits and its home cells.  */
struct fl_account
{
  char name[PR_ID_SIZE];
  char key_digest[BS_DIGEST_SIZE];
  struct fl_limit limit;
  int32_t queued, max_queued_jobs; /* jobs now queued, and their limit */
  char home[PR_MAX_CELLS][PR_ID_SIZE];
  int home_count;
};

/* State that the filters read.  ACCOUNT and FLEET are the caller's.  */
struct fl_env
{
  struct fl_account *account;
  int accounts;
  const char *operator_digest;
  const struct fl_fleet *fleet;
  int64_t now_ms;
  double jitter;
  int table_down;
  int in_progress, max_in_progress; /* requests on this VM */
  /* Tokens of the bodies of those requests, as bs_json_tokens counts, whose
     trees are kept; kept by the filters.  */
  int tokens;
};

/* A request on its way through the chain.  The strings are the caller's.  */
struct fl_request
{
  /* Input.  */
  const char *method, *path, *authorization, *if_match, *body;
  const char *key, *attempt_text; /* Idempotency-Key and -Attempt */
  size_t body_size;
  int too_large;
  /* Results of the filters.  */
  enum fl_op op;
  char id[FL_MAX_ID + 1]; /* last segment of the path: key, job or list */
  int account;            /* handle, or FL_OPERATOR */
  int admitted;           /* counted against the account's limits */
  json_t *json;           /* owned; freed by fl_request_fini */
  int tokens;             /* of JSON, counted in the environment */
  union
  {
    struct fl_call_body call;
    struct fl_job_body job;
    int64_t version; /* of FL_OP_LIST_PUT */
  } u;
  int32_t attempt;               /* 1: the caller's first; 0: not stated */
  char digest[BS_DIGEST_SIZE];   /* of the body */
  char row_key[FL_ROW_KEY_SIZE]; /* ACCOUNT/KEY */
  char cell[PR_ID_SIZE];         /* chosen for a new job */
  struct fl_problem problem;     /* why the request was refused */
};

/* Runs the chain.  Returns FL_PROBLEM_NONE when the request may proceed, else
   the kind of R's problem.  In both cases the caller must call
   fl_request_fini.  */
enum fl_problem_kind fl_chain_run (struct fl_env *env, struct fl_request *r);
/* Changes a "not_run" problem P to FL_PROBLEM_UNPROVED, state "unknown", when
   an earlier attempt with the same key may have run.  "not_run" is a
   statement about the key, so it stays only on the caller's first attempt, on
   a job that can never run, or when PROVED says that no other attempt ran.  */
void fl_mark_unproved (const struct fl_request *r, struct fl_problem *p,
                       int proved, double jitter);
/* Frees what the chain allocated in R and ends its use of the account's
   limits.  */
void fl_request_fini (struct fl_env *env, struct fl_request *r);

enum
{
  FL_NO_ACCOUNT = -2
};

/* Handle of the account whose key has DIGEST, FL_OPERATOR or FL_NO_ACCOUNT.
   Takes the same time whichever key matches.  */
int fl_find_key (const struct fl_env *env, const char *digest);

#endif
