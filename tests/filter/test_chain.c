/* Filter chain: which requests pass, which are refused with which problem, and
   that a refused request releases the account's limits.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "filter/chain.h"
#include "suite.h"

enum
{
  MAX_REQUESTS = 100,
  ACCOUNTS = 2,
  WORKERS = 4
};

static struct fl_account account[ACCOUNTS];
static struct fl_fleet_worker worker[WORKERS];
static struct fl_fleet fleet;
static char operator_digest[BS_DIGEST_SIZE];
static struct fl_env env;
static struct fl_request req;
static const char *attempt = "1";

static const char good_call[] = "{\"kind\":\"slot\",\"repeatable\":true,"
                                "\"deadline_ms\":1000,\"payload\":{}}";
static const char good_job[]
    = "{\"class\":\"bulk\",\"tasks\":2,\"per_task\":4,\"declared_ms\":1000,"
      "\"repeatable\":true,\"preemptible\":true,\"payload\":{}}";

static void
start (void)
{
  static const char *const names[ACCOUNTS] = { "desk", "agency" };

  memset (account, 0, sizeof account);
  for (int i = 0; i < ACCOUNTS; i++)
    {
      struct fl_limit *l = &account[i].limit;

      snprintf (account[i].name, sizeof account[i].name, "%s", names[i]);
      bs_digest (account[i].key_digest, names[i]);
      account[i].max_queued_jobs = 3;
      fl_limit_init (l, 0);
      l->calls_per_second = l->concurrent_calls = 3;
      fl_limit_end_period (l, 1, 0, 0, 1);
    }
  for (int i = 0; i < WORKERS; i++)
    {
      worker[i] = (struct fl_fleet_worker){ .accelerators = 8, .slots = 8 };
      snprintf (worker[i].cell, sizeof worker[i].cell, "d%d", i / 2 + 1);
    }
  fleet = (struct fl_fleet){ .worker = worker, .workers = WORKERS };
  bs_digest (operator_digest, "operator");
  env = (struct fl_env){ .account = account,
                         .accounts = ACCOUNTS,
                         .operator_digest = operator_digest,
                         .fleet = &fleet,
                         .now_ms = 10000,
                         .max_in_progress = MAX_REQUESTS };
}

static enum fl_problem_kind
run (const char *method, const char *path, const char *key, const char *body)
{
  static char header[64];

  fl_request_fini (&env, &req);
  snprintf (header, sizeof header, "Bearer %s", key);
  req = (struct fl_request){ .method = method,
                             .path = path,
                             .authorization = *key ? header : NULL,
                             .key = "k-1",
                             .attempt_text = attempt,
                             .if_match = "\"3\"",
                             .body = body,
                             .body_size = strlen (body) };
  return fl_chain_run (&env, &req);
}

static void
test_good_requests_pass (void)
{
  start ();
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_NONE);
  CU_ASSERT_STRING_EQUAL (req.row_key, "desk/k-1");
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "agency", good_job),
                   FL_PROBLEM_NONE);
  CU_ASSERT_EQUAL (run ("GET", "/v1/jobs/d1~x", "desk", ""), FL_PROBLEM_NONE);
  CU_ASSERT_STRING_EQUAL (req.id, "d1~x");
  CU_ASSERT_EQUAL (run ("PUT", "/v1/plans", "operator", "[]"),
                   FL_PROBLEM_NONE);
  CU_ASSERT_EQUAL (req.u.version, 3);
  CU_ASSERT_EQUAL (run ("GET", "/healthz", "", ""), FL_PROBLEM_NONE);
}

/* Guards against a client's key that is accepted on the operator's paths, an
   operator's key that is accepted for calls, and an unknown key.  */
static void
test_keys_open_only_what_is_theirs (void)
{
  static const char *const operators[]
      = { "/v1/plans",  "/v1/allowances", "/v1/vms",     "/v1/cells",
          "/v1/status", "/metrics",       "/v1/counters" };

  start ();
  for (size_t i = 0; i < sizeof operators / sizeof operators[0]; i++)
    {
      CU_ASSERT_EQUAL (run ("GET", operators[i], "desk", ""),
                       FL_PROBLEM_FORBIDDEN);
      CU_ASSERT_EQUAL (run ("GET", operators[i], "", ""),
                       FL_PROBLEM_UNAUTHORIZED);
    }
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "operator", good_call),
                   FL_PROBLEM_FORBIDDEN);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "nobody", good_call),
                   FL_PROBLEM_UNAUTHORIZED);
}

/* Guards against an all-zero key digest, as of a deleted account, or an empty
   operator digest that still authorizes requests.  */
static void
test_an_account_that_is_gone_has_no_key (void)
{
  start ();
  memset (account[0].key_digest, 0, BS_DIGEST_SIZE);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_UNAUTHORIZED);
  env.operator_digest = "";
  CU_ASSERT_EQUAL (fl_find_key (&env, operator_digest), FL_NO_ACCOUNT);
}

static void
test_bad_calls_are_refused (void)
{
  static const char *const bad[]
      = { "",
          "{",
          "[]",
          "{}",
          "{\"kind\":\"a\",\"kind\":\"b\",\"repeatable\":true,"
          "\"deadline_ms\":1,\"payload\":{}}",
          "{\"kind\":\"a\",\"repeatable\":true,\"deadline_ms\":1,"
          "\"payload\":{},\"more\":1}",
          "{\"kind\":\"a\",\"repeatable\":1,\"deadline_ms\":1,"
          "\"payload\":{}}",
          "{\"kind\":\"\",\"repeatable\":true,\"deadline_ms\":1,"
          "\"payload\":{}}",
          "{\"kind\":\"a\",\"repeatable\":true,\"deadline_ms\":0,"
          "\"payload\":{}}",
          "{\"kind\":\"a\",\"repeatable\":true,\"deadline_ms\":600001,"
          "\"payload\":{}}",
          "{\"kind\":\"a\",\"repeatable\":true,\"deadline_ms\":1,"
          "\"payload\":[]}",
          "{\"kind\":\"a\\u0000b\",\"repeatable\":true,\"deadline_ms\":1,"
          "\"payload\":{}}" };

  start ();
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", bad[i]),
                       FL_PROBLEM_MALFORMED);
      CU_ASSERT (*req.problem.detail);
    }
  fl_request_fini (&env, &req);
  CU_ASSERT_EQUAL (account[0].limit.in_progress, 0);
  CU_ASSERT_EQUAL (account[0].limit.admitted, 0);
}

static void
test_deep_nesting_is_refused (void)
{
  char open[FL_MAX_DEPTH + 1] = "", close[FL_MAX_DEPTH + 1] = "", body[512];

  start ();
  memset (open, '[', FL_MAX_DEPTH);
  memset (close, ']', FL_MAX_DEPTH);
  snprintf (body, sizeof body,
            "{\"kind\":\"a\",\"repeatable\":true,\"deadline_ms\":1,"
            "\"payload\":{\"a\":%s%s}}",
            open, close);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", body),
                   FL_PROBLEM_MALFORMED);
}

static void
test_bad_jobs_are_refused (void)
{
  static const char *const bad[]
      = { "\"class\":\"fast\",\"tasks\":1,\"per_task\":1",
          "\"class\":\"bulk\",\"tasks\":0,\"per_task\":1",
          "\"class\":\"bulk\",\"tasks\":4097,\"per_task\":1",
          "\"class\":\"bulk\",\"tasks\":1,\"per_task\":-1",
          "\"class\":\"bulk\",\"tasks\":1,\"per_task\":65" };
  char body[256];

  start ();
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      snprintf (body, sizeof body,
                "{%s,\"declared_ms\":1,\"repeatable\":true,"
                "\"preemptible\":true,\"payload\":{}}",
                bad[i]);
      CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", body),
                       FL_PROBLEM_MALFORMED);
    }
}

static void
test_paths_and_methods (void)
{
  char path[FL_MAX_ID + 32] = "/v1/calls/";

  start ();
  memset (path + 10, 'a', FL_MAX_ID + 1);
  CU_ASSERT_EQUAL (run ("GET", path, "desk", ""),
                   FL_PROBLEM_METHOD_NOT_ALLOWED);
  CU_ASSERT_EQUAL (run ("GET", "/v1/nothing", "desk", ""),
                   FL_PROBLEM_NOT_FOUND);
  CU_ASSERT_EQUAL (run ("GET", "/v1/calls/", "desk", ""),
                   FL_PROBLEM_NOT_FOUND);
  CU_ASSERT_EQUAL (run ("DELETE", "/v1/plans", "operator", ""),
                   FL_PROBLEM_METHOD_NOT_ALLOWED);
}

static void
test_size_is_checked_before_the_key (void)
{
  start ();
  fl_request_fini (&env, &req);
  req = (struct fl_request){
    .method = "POST", .path = "/v1/calls", .too_large = 1, .body = ""
  };
  CU_ASSERT_EQUAL (fl_chain_run (&env, &req), FL_PROBLEM_TOO_LARGE);
}

static void
test_idempotency_key_is_required_and_plain (void)
{
  static const char *const bad[] = { NULL, "", "a/b", "a b", "\xc3\xa9" };

  start ();
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char header[] = "Bearer agency";

      fl_request_fini (&env, &req);
      req = (struct fl_request){ .method = "POST",
                                 .path = "/v1/jobs",
                                 .authorization = header,
                                 .key = bad[i],
                                 .body = good_job,
                                 .body_size = sizeof good_job - 1 };
      CU_ASSERT_EQUAL (fl_chain_run (&env, &req), FL_PROBLEM_KEY_REQUIRED);
    }
}

/* Guards against a refused call that still counts as in progress in its
   account's limit.  */
static void
test_limits_are_left_by_a_refused_call (void)
{
  start ();
  env.in_progress = MAX_REQUESTS * FL_SHED_CALLS_PERCENT / 100;
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_OVERLOAD);
  CU_ASSERT (req.problem.retry_after_s > 0);
  fl_request_fini (&env, &req);
  CU_ASSERT_EQUAL (account[0].limit.in_progress, 0);
}

/* Guards against memory that grows with the small values of all bodies: one
   alone is served, however many it has; the next has to wait for its end.  */
static void
test_tokens_are_bounded (void)
{
  GString *body = g_string_new ("{\"payload\":{\"a\":[");
  struct fl_request first;

  for (int i = 0; i < FL_MAX_TOKENS / 2; i++)
    g_string_append (body, "{},");
  g_string_append (body, "0]}}");
  attempt = "1";
  start ();
  CU_ASSERT_NOT_EQUAL (run ("POST", "/v1/calls", "desk", body->str),
                       FL_PROBLEM_OVERLOAD);
  first = req;
  req = (struct fl_request){ 0 };
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_OVERLOAD);
  CU_ASSERT_EQUAL (run ("GET", "/v1/jobs/d1~x", "desk", ""), FL_PROBLEM_NONE);
  fl_request_fini (&env, &first);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_NONE);
  fl_request_fini (&env, &req);
  CU_ASSERT_EQUAL (env.tokens, 0);
  g_string_free (body, TRUE);
}

static void
test_not_run_needs_the_first_attempt_or_a_proof (void)
{
  static const char *const later[] = { NULL, "2" };

  for (size_t i = 0; i < sizeof later / sizeof later[0]; i++)
    {
      start ();
      env.in_progress = MAX_REQUESTS - 1;
      attempt = later[i];
      CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                       FL_PROBLEM_UNPROVED);
      CU_ASSERT_STRING_EQUAL (fl_problem_state (req.problem.kind), "unknown");
      CU_ASSERT (req.problem.retry_after_s > 0);
      fl_problem_set (&req.problem, FL_PROBLEM_NOT_RUN, 0, "x");
      fl_mark_unproved (&req, &req.problem, 1, 0);
      CU_ASSERT_EQUAL (req.problem.kind, FL_PROBLEM_NOT_RUN);
    }
  attempt = "1";
  start ();
  env.in_progress = MAX_REQUESTS - 1;
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_OVERLOAD);
}

static void
test_attempts_are_numbers_from_one (void)
{
  static const char *const bad[] = { "", "0", "-1", "x", "1x", "1000001" };

  start ();
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      attempt = bad[i];
      CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", good_job),
                       FL_PROBLEM_KEY_REQUIRED);
    }
  attempt = "1";
}

static void
test_one_account_s_limit_is_not_the_other_s (void)
{
  start ();
  for (int i = 0; i < 3; i++)
    fl_limit_acquire (&account[0].limit, env.now_ms);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_CONCURRENCY);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "agency", good_call),
                   FL_PROBLEM_NONE);
}

static void
test_queued_jobs_are_bounded (void)
{
  start ();
  account[0].queued = account[0].max_queued_jobs;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", good_job),
                   FL_PROBLEM_QUEUE_FULL);
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "agency", good_job),
                   FL_PROBLEM_NONE);
}

/* Guards against overload that refuses urgent jobs before bulk jobs, calls
   before jobs, or reads before the maximum of requests is reached.  */
static void
test_bulk_is_shed_first (void)
{
  char urgent[sizeof good_job + 8];

  start ();
  snprintf (urgent, sizeof urgent, "{\"class\":\"urgent\"%s", good_job + 15);
  env.in_progress = MAX_REQUESTS * FL_SHED_BULK_PERCENT / 100;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", good_job),
                   FL_PROBLEM_OVERLOAD);
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", urgent), FL_PROBLEM_NONE);
  env.in_progress = MAX_REQUESTS * FL_SHED_JOBS_PERCENT / 100;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", urgent),
                   FL_PROBLEM_OVERLOAD);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_NONE);
  env.in_progress = MAX_REQUESTS - 1;
  CU_ASSERT_EQUAL (run ("GET", "/v1/jobs", "desk", ""), FL_PROBLEM_NONE);
}

static void
test_impossible_jobs_are_refused_at_once (void)
{
  start ();
  CU_ASSERT_EQUAL (
      run ("POST", "/v1/jobs", "desk",
           "{\"class\":\"bulk\",\"tasks\":5,\"per_task\":4,\"declared_ms\":1,"
           "\"repeatable\":true,\"preemptible\":true,\"payload\":{}}"),
      FL_PROBLEM_CAN_NEVER_RUN);
  CU_ASSERT_EQUAL (
      run ("POST", "/v1/jobs", "desk",
           "{\"class\":\"bulk\",\"tasks\":1,\"per_task\":9,\"declared_ms\":1,"
           "\"repeatable\":true,\"preemptible\":true,\"payload\":{}}"),
      FL_PROBLEM_CAN_NEVER_RUN);
  fleet.workers = 0;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", good_job),
                   FL_PROBLEM_NO_UPSTREAM);
}

/* Guards against a job that is placed outside the home cells of its account
   although one of them can hold it, and, for an account without home cells,
   outside the cell with the most free accelerators.  */
static void
test_jobs_go_home_first (void)
{
  start ();
  snprintf (account[0].home[0], PR_ID_SIZE, "d2");
  account[0].home_count = 1;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", good_job),
                   FL_PROBLEM_NONE);
  CU_ASSERT_STRING_EQUAL (req.cell, "d2");
  fleet.cells = 2;
  snprintf (fleet.cell[0].cell, PR_ID_SIZE, "d1");
  fleet.cell[0].free_accelerators = 1;
  snprintf (fleet.cell[1].cell, PR_ID_SIZE, "d2");
  fleet.cell[1].free_accelerators = 16;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "agency", good_job),
                   FL_PROBLEM_NONE);
  CU_ASSERT_STRING_EQUAL (req.cell, "d2");
}

static void
test_jobs_need_the_table (void)
{
  start ();
  env.table_down = 1;
  CU_ASSERT_EQUAL (run ("POST", "/v1/jobs", "desk", good_job),
                   FL_PROBLEM_TABLE_DOWN);
  CU_ASSERT (req.problem.retry_after_s > 0);
  CU_ASSERT_EQUAL (run ("POST", "/v1/calls", "desk", good_call),
                   FL_PROBLEM_NONE);
}

static void
test_lists_need_a_version (void)
{
  char header[] = "Bearer operator";

  start ();
  fl_request_fini (&env, &req);
  req = (struct fl_request){ .method = "PUT",
                             .path = "/v1/plans",
                             .authorization = header,
                             .body = "[]",
                             .body_size = 2 };
  CU_ASSERT_EQUAL (fl_chain_run (&env, &req), FL_PROBLEM_VERSION_REQUIRED);
  CU_ASSERT_EQUAL (run ("PUT", "/v1/plans", "operator", "{}"),
                   FL_PROBLEM_MALFORMED);
}

static void
test_problems_have_their_fields (void)
{
  struct fl_problem p;
  json_t *o;

  fl_problem_set (&p, FL_PROBLEM_RATE, 1.0, "detail %d", 7);
  CU_ASSERT_EQUAL (p.retry_after_s, 2);
  o = fl_problem_json (&p);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (o, "status")), 429);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (o, "detail")),
                          "detail 7");
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (o, "state")),
                          "not_run");
  json_decref (o);
}

#define TEST(name)                                                            \
  {                                                                           \
#name, name                                                               \
  }

int
main (void)
{
  static const CU_TestInfo tests[] = {
    TEST (test_good_requests_pass),
    TEST (test_keys_open_only_what_is_theirs),
    TEST (test_an_account_that_is_gone_has_no_key),
    TEST (test_bad_calls_are_refused),
    TEST (test_deep_nesting_is_refused),
    TEST (test_bad_jobs_are_refused),
    TEST (test_paths_and_methods),
    TEST (test_size_is_checked_before_the_key),
    TEST (test_idempotency_key_is_required_and_plain),
    TEST (test_limits_are_left_by_a_refused_call),
    TEST (test_not_run_needs_the_first_attempt_or_a_proof),
    TEST (test_attempts_are_numbers_from_one),
    TEST (test_one_account_s_limit_is_not_the_other_s),
    TEST (test_queued_jobs_are_bounded),
    TEST (test_bulk_is_shed_first),
    TEST (test_tokens_are_bounded),
    TEST (test_impossible_jobs_are_refused_at_once),
    TEST (test_jobs_go_home_first),
    TEST (test_jobs_need_the_table),
    TEST (test_lists_need_a_version),
    TEST (test_problems_have_their_fields),
    CU_TEST_INFO_NULL,
  };
  int code;

  bs_init ();
  code = run_suite ("chain", tests);
  fl_request_fini (&env, &req);
  return code;
}
