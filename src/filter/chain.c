#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "filter/chain.h"

typedef enum fl_problem_kind filter (struct fl_env *env, struct fl_request *r);

struct route
{
  const char *path; /* with a trailing '/' one more segment follows */
  const char *method;
  enum fl_op op;
};

static const struct route routes[] = {
  { "/healthz", "GET", FL_OP_HEALTH },
  { "/metrics", "GET", FL_OP_METRICS },
  { "/v1/calls", "POST", FL_OP_CALL },
  { "/v1/calls/", "GET", FL_OP_CALL_GET },
  { "/v1/jobs", "POST", FL_OP_JOB },
  { "/v1/jobs", "GET", FL_OP_JOB_LIST },
  { "/v1/jobs/", "GET", FL_OP_JOB_GET },
  { "/v1/jobs/", "DELETE", FL_OP_JOB_CANCEL },
  { "/v1/plans", "GET", FL_OP_LIST_GET },
  { "/v1/plans", "PUT", FL_OP_LIST_PUT },
  { "/v1/allowances", "GET", FL_OP_LIST_GET },
  { "/v1/allowances", "PUT", FL_OP_LIST_PUT },
  { "/v1/vms", "GET", FL_OP_VMS },
  { "/v1/cells", "GET", FL_OP_CELLS },
  { "/v1/status", "GET", FL_OP_STATUS },
  { "/v1/counters", "GET", FL_OP_COUNTERS },
};

/* Returns the length of the prefix of PATH that ROUTE matches, or 0.  */
static size_t
match_path (const struct route *route, const char *path)
{
  size_t n = strlen (route->path);

  if (route->path[n - 1] == '/')
    return !strncmp (path, route->path, n) && path[n] ? n : 0;
  return strcmp (path, route->path) == 0 ? n : 0;
}

static enum fl_problem_kind
parse_path (struct fl_env *env, struct fl_request *r)
{
  int known = 0;

  (void)env;
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      size_t n = match_path (&routes[i], r->path);

      if (!n)
        continue;
      known = 1;
      if (strcmp (r->method, routes[i].method) != 0)
        continue;
      if (strlen (r->path + n) > FL_MAX_ID)
        break;
      r->op = routes[i].op;
      snprintf (r->id, sizeof r->id, "%s",
                r->path[n] ? r->path + n : strrchr (r->path, '/') + 1);
    }
  if (r->op == FL_OP_NONE)
    return fl_problem_set (
        &r->problem,
        known ? FL_PROBLEM_METHOD_NOT_ALLOWED : FL_PROBLEM_NOT_FOUND, 0,
        "there is no %s here", known ? "such method" : "such resource");
  if (r->too_large)
    return fl_problem_set (&r->problem, FL_PROBLEM_TOO_LARGE, 0,
                           "the body passes the limit");
  return FL_PROBLEM_NONE;
}

int
fl_find_key (const struct fl_env *env, const char *digest)
{
  int found = FL_NO_ACCOUNT;

  /* Compares every digest, so that the time does not reveal a match.  */
  for (int i = 0; i < env->accounts; i++)
    if (!sodium_memcmp (env->account[i].key_digest, digest,
                        BS_DIGEST_SIZE - 1))
      found = i;
  if (strlen (env->operator_digest) == BS_DIGEST_SIZE - 1
      && !sodium_memcmp (env->operator_digest, digest, BS_DIGEST_SIZE - 1))
    found = FL_OPERATOR;
  return found;
}

static enum fl_problem_kind
authenticate (struct fl_env *env, struct fl_request *r)
{
  static const char scheme[] = "Bearer ";
  char digest[BS_DIGEST_SIZE];

  if (r->op == FL_OP_HEALTH)
    {
      r->account = FL_OPERATOR;
      return FL_PROBLEM_NONE;
    }
  r->account = FL_NO_ACCOUNT;
  if (r->authorization
      && !strncmp (r->authorization, scheme, sizeof scheme - 1))
    {
      bs_digest (digest, r->authorization + sizeof scheme - 1);
      r->account = fl_find_key (env, digest);
    }
  if (r->account == FL_NO_ACCOUNT)
    return fl_problem_set (&r->problem, FL_PROBLEM_UNAUTHORIZED, 0,
                           "send Authorization: Bearer KEY with a key that "
                           "is in force");
  return FL_PROBLEM_NONE;
}

static int
requires_operator (enum fl_op op)
{
  return op >= FL_OP_LIST_GET;
}

static enum fl_problem_kind
check_permission (struct fl_env *env, struct fl_request *r)
{
  (void)env;
  if (r->op == FL_OP_HEALTH)
    return FL_PROBLEM_NONE;
  if (requires_operator (r->op) && r->account != FL_OPERATOR)
    return fl_problem_set (&r->problem, FL_PROBLEM_FORBIDDEN, 0,
                           "this takes the operator's key");
  if (!requires_operator (r->op) && r->account == FL_OPERATOR)
    return fl_problem_set (&r->problem, FL_PROBLEM_FORBIDDEN, 0,
                           "this takes the key of a client account");
  return FL_PROBLEM_NONE;
}

static enum fl_problem_kind
decode_list (struct fl_request *r)
{
  if (!r->if_match || fl_parse_version (r->if_match, &r->u.version))
    return fl_problem_set (&r->problem, FL_PROBLEM_VERSION_REQUIRED, 0,
                           "send If-Match with the version that was edited, "
                           "0 for a list that was never set");
  r->json = fl_parse_value (r->body, r->body_size, &r->problem);
  if (r->json && !json_is_array (r->json))
    fl_problem_set (&r->problem, FL_PROBLEM_MALFORMED, 0,
                    "the body must be the list, a JSON array");
  return r->problem.kind;
}

/* Tells whether a refusal may say "not run", so that it goes before those.  */
static enum fl_problem_kind
parse_attempt (struct fl_env *env, struct fl_request *r)
{
  (void)env;
  if (r->attempt_text && fl_parse_attempt (r->attempt_text, &r->attempt))
    return fl_problem_set (&r->problem, FL_PROBLEM_KEY_REQUIRED, 0,
                           "Idempotency-Attempt must be 1 to %d",
                           FL_MAX_ATTEMPT);
  return FL_PROBLEM_NONE;
}

/* Bounds the memory of the trees that decode makes.  */
static enum fl_problem_kind
bound_tokens (struct fl_env *env, struct fl_request *r)
{
  int tokens = r->body_size ? bs_json_tokens (r->body) : 0;

  if (tokens && env->tokens && env->tokens + tokens > FL_MAX_TOKENS)
    return fl_problem_set (&r->problem, FL_PROBLEM_OVERLOAD, env->jitter,
                           "this attempt was not run");
  r->tokens = tokens;
  env->tokens += tokens;
  return FL_PROBLEM_NONE;
}

/* Decodes the body; runs only for an authenticated caller.  */
static enum fl_problem_kind
decode (struct fl_env *env, struct fl_request *r)
{
  (void)env;
  switch (r->op)
    {
    case FL_OP_LIST_PUT:
      return decode_list (r);
    case FL_OP_CALL:
    case FL_OP_JOB:
      r->json = fl_parse_object (r->body, r->body_size, &r->problem);
      if (!r->json)
        return r->problem.kind;
      if (r->op == FL_OP_CALL)
        fl_parse_call (&r->u.call, r->json, &r->problem);
      else
        fl_parse_job (&r->u.job, r->json, &r->problem);
      return r->problem.kind;
    default:
      if (r->body_size)
        return fl_problem_set (&r->problem, FL_PROBLEM_MALFORMED, 0,
                               "no body is expected here");
      return FL_PROBLEM_NONE;
    }
}

static enum fl_problem_kind
apply_limits (struct fl_env *env, struct fl_request *r)
{
  struct fl_account *a;

  if (r->op != FL_OP_CALL && r->op != FL_OP_JOB)
    return FL_PROBLEM_NONE;
  a = &env->account[r->account];
  if (r->op == FL_OP_JOB && a->queued >= a->max_queued_jobs)
    return fl_problem_set (&r->problem, FL_PROBLEM_QUEUE_FULL, env->jitter,
                           "nothing was accepted: %d jobs are queued",
                           (int)a->queued);
  if (r->op == FL_OP_JOB)
    return FL_PROBLEM_NONE;
  switch (fl_limit_acquire (&a->limit, env->now_ms))
    {
    case FL_LIMIT_RATE:
      return fl_problem_set (&r->problem, FL_PROBLEM_RATE, env->jitter,
                             "this attempt was not run");
    case FL_LIMIT_CONCURRENCY:
      return fl_problem_set (&r->problem, FL_PROBLEM_CONCURRENCY, env->jitter,
                             "this attempt was not run");
    case FL_LIMIT_PASS:
      break;
    }
  r->admitted = 1;
  return FL_PROBLEM_NONE;
}

static enum fl_problem_kind
check_idempotency (struct fl_env *env, struct fl_request *r)
{
  const char *key = r->op == FL_OP_CALL_GET ? r->id : r->key;

  if (r->op != FL_OP_CALL && r->op != FL_OP_JOB && r->op != FL_OP_CALL_GET)
    return FL_PROBLEM_NONE;
  if (!fl_key_is_valid (key))
    return fl_problem_set (&r->problem, FL_PROBLEM_KEY_REQUIRED, 0,
                           "send Idempotency-Key: 1 to %d letters, digits "
                           "and . _ ~ : -",
                           FL_MAX_KEY);
  bs_digest (r->digest, r->body);
  snprintf (r->row_key, sizeof r->row_key, "%s/%s",
            env->account[r->account].name, key);
  return FL_PROBLEM_NONE;
}

static int
shed_percent (const struct fl_request *r)
{
  enum
  {
    ALL = 100
  };

  if (r->op == FL_OP_CALL)
    return FL_SHED_CALLS_PERCENT;
  if (r->op == FL_OP_JOB)
    return r->u.job.urgent ? FL_SHED_JOBS_PERCENT : FL_SHED_BULK_PERCENT;
  return ALL;
}

static enum fl_problem_kind
shed_load (struct fl_env *env, struct fl_request *r)
{
  if (env->in_progress * 100LL
      >= (long long)env->max_in_progress * shed_percent (r))
    return fl_problem_set (&r->problem, FL_PROBLEM_OVERLOAD, env->jitter,
                           "this attempt was not run");
  return FL_PROBLEM_NONE;
}

static enum fl_problem_kind
route_job (struct fl_env *env, struct fl_request *r)
{
  const struct fl_job_body *j = &r->u.job;
  const struct fl_account *a = &env->account[r->account];
  const char *cell;

  if (fl_fleet_can_never_hold (env->fleet, j->tasks, j->per_task))
    return fl_problem_set (
        &r->problem, FL_PROBLEM_CAN_NEVER_RUN, 0,
        "no cell could hold %d tasks of %d accelerators, even empty",
        (int)j->tasks, (int)j->per_task);
  cell = fl_fleet_choose_cell (env->fleet, (const char (*)[PR_ID_SIZE])a->home,
                               a->home_count, j->tasks, j->per_task,
                               r->row_key);
  if (!cell)
    return fl_problem_set (&r->problem, FL_PROBLEM_NO_UPSTREAM, env->jitter,
                           "no worker is listed yet; nothing was accepted");
  snprintf (r->cell, sizeof r->cell, "%s", cell);
  return FL_PROBLEM_NONE;
}

static enum fl_problem_kind
route (struct fl_env *env, struct fl_request *r)
{
  if (r->op == FL_OP_JOB && env->table_down)
    return fl_problem_set (&r->problem, FL_PROBLEM_TABLE_DOWN, env->jitter,
                           "nothing was accepted");
  return r->op == FL_OP_JOB ? route_job (env, r) : FL_PROBLEM_NONE;
}

void
fl_mark_unproved (const struct fl_request *r, struct fl_problem *p, int proved,
                  double jitter)
{
  const char *state = fl_problem_state (p->kind);

  if (proved || r->attempt == 1 || p->kind == FL_PROBLEM_CAN_NEVER_RUN
      || !state || strcmp (state, "not_run") != 0)
    return;
  fl_problem_set (p, FL_PROBLEM_UNPROVED, jitter,
                  "this attempt was not run; an earlier one with the same "
                  "key may have run; come back with the same key");
}

enum fl_problem_kind
fl_chain_run (struct fl_env *env, struct fl_request *r)
{
  static filter *const chain[]
      = { parse_path,   authenticate, check_permission, parse_attempt,
          bound_tokens, decode,       apply_limits,     check_idempotency,
          shed_load,    route };

  for (size_t i = 0; i < sizeof chain / sizeof chain[0]; i++)
    if (chain[i](env, r) != FL_PROBLEM_NONE)
      {
        fl_mark_unproved (r, &r->problem, 0, env->jitter);
        return r->problem.kind;
      }
  return FL_PROBLEM_NONE;
}

void
fl_request_fini (struct fl_env *env, struct fl_request *r)
{
  if (r->admitted)
    fl_limit_release (&env->account[r->account].limit);
  r->admitted = 0;
  json_decref (r->json);
  r->json = NULL;
  env->tokens -= r->tokens;
  r->tokens = 0;
}
